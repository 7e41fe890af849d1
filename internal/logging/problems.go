package logging

import (
	"sync"

	"github.com/apex/log"
)

// maxProblems bounds the subjects whose problems are remembered. Beyond, all are forgotten,
// and each is logged once more.
const maxProblems = 1024

// Problems logs each problem once until it changes or is settled. It may be used by several
// goroutines.
type Problems struct {
	logger log.Interface
	mutex  sync.Mutex
	last   map[string]string // text logged last, by event and subject
}

// NewProblems returns an empty set.
func NewProblems(logger log.Interface) *Problems {
	return &Problems{logger: logger, last: make(map[string]string)}
}

// Log logs a problem unless it is the one logged last for that subject.
func (p *Problems) Log(event, subject string, err error, fields Fields) {
	if p.isNew(event+" "+subject, err.Error()) {
		Problem(p.logger, event, err, fields)
	}
}

// isNew notes the text of a problem and reports whether it is another one than before.
func (p *Problems) isNew(key, text string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.last[key] == text {
		return false
	}
	if len(p.last) >= maxProblems {
		clear(p.last)
	}
	p.last[key] = text
	return true
}

// Settled forgets a problem, so that its next occurrence is logged.
func (p *Problems) Settled(event, subject string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.last, event+" "+subject)
}
