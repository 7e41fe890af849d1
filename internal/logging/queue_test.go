package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"
)

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	text    bytes.Buffer
}

func (b *blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(line)
}

// When the reader of the log stops reading, logging drops lines and does not block.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	queue := NewQueue(writer)
	logger := &log.Logger{Handler: queue, Level: log.InfoLevel}
	for range 4 * maxQueuedLines {
		logger.Info("request.refused")
	}
	must.Positive(t, queue.Dropped())
	close(writer.release)
	queue.Flush(time.Minute)
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	must.StrContains(t, writer.text.String(), "event=request.refused")
}

// Each event has its own rate limit, and the number of dropped lines is reported.
func TestEventsAreRateLimitedSeparately(t *testing.T) {
	var writer blockedWriter
	writer.release = make(chan struct{})
	close(writer.release)
	queue := NewQueue(&writer)
	now := time.Unix(1_000_000, 0)
	for index := range 3 * lineBurst {
		_ = queue.HandleLog(&log.Entry{Message: "request.refused", Timestamp: now})
		if index == 0 {
			_ = queue.HandleLog(&log.Entry{Message: "node.started", Timestamp: now})
		}
	}
	_ = queue.HandleLog(&log.Entry{Message: "request.refused", Timestamp: now.Add(time.Minute)})
	queue.Flush(time.Minute)
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	text := writer.text.String()
	must.Eq(t, lineBurst+1, strings.Count(text, "event=request.refused"))
	must.StrContains(t, text, "event=node.started")
	must.StrContains(t, text, "event=log.limited count=200 of=request.refused")
}
