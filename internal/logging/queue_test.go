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

// blockedWriter takes nothing until it is released.
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

// A reader of the log that stops reading delays nobody and costs lines alone.
func TestBlockedWriterBlocksNobody(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	queue := NewQueue(writer)
	logger := &log.Logger{Handler: queue, Level: log.InfoLevel}
	for range 4 * queuedLines {
		logger.Info("request.refused")
	}
	must.Positive(t, queue.Dropped())
	close(writer.release)
	queue.Flush(time.Minute)
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	must.StrContains(t, writer.text.String(), "event=request.refused")
}

// Each event has a rate of its own, and what is left out is told.
func TestEventsAreLimitedOneByOne(t *testing.T) {
	var writer blockedWriter
	writer.release = make(chan struct{})
	close(writer.release)
	queue := NewQueue(&writer)
	now := time.Unix(1_000_000, 0)
	for index := range 3 * linesAtOnce {
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
	must.Eq(t, linesAtOnce+1, strings.Count(text, "event=request.refused"))
	must.StrContains(t, text, "event=node.started")
	must.StrContains(t, text, "event=log.limited count=200 of=request.refused")
}
