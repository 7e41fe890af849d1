package logging

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"
)

func TestEventIsOneLineOfSortedPairs(t *testing.T) {
	var text bytes.Buffer
	logger := New(&text, log.InfoLevel)
	Event(logger, "node.started", Fields{"zone": "edappally", "name": "a b", "empty": "", "equal": "a=b", "wait": 1500 * time.Millisecond, "share": 0.25})
	Problem(logger, "peer.lost", errors.New("line one\nline \"two\""), Fields{"bad key": "ü\x00"})
	logger.Debug("hidden")
	lines := strings.Split(strings.TrimSuffix(text.String(), "\n"), "\n")
	must.SliceLen(t, 2, lines)
	_, first, _ := strings.Cut(lines[0], " ")
	must.Eq(t, `level=info event=node.started empty="" equal="a=b" name="a b" share=0.25 wait=1.5s zone=edappally`, first)
	_, second, _ := strings.Cut(lines[1], " ")
	must.Eq(t, `level=warn event=peer.lost bad_key="ü\x00" error="line one\nline \"two\""`, second)
}

func TestConcurrentLinesAreNotInterleaved(t *testing.T) {
	var text bytes.Buffer
	logger := New(&text, log.InfoLevel)
	var group sync.WaitGroup
	const writers, each = 8, 100
	for range writers {
		group.Go(func() {
			for range each {
				Event(logger, "tick", Fields{"a": 1, "b": strings.Repeat("x", 50)})
			}
		})
	}
	group.Wait()
	lines := strings.SplitAfter(text.String(), "\n")
	must.SliceLen(t, writers*each+1, lines)
	for _, line := range lines[:writers*each] {
		must.StrHasSuffix(t, "level=info event=tick a=1 b="+strings.Repeat("x", 50)+"\n", line)
	}
}
