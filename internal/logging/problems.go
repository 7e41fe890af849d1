package logging

import (
	"sync"

	"github.com/apex/log"
)

// maxProblems limits the number of subjects whose problems are stored. When it is reached, all
// are dropped, and each is logged once more.
const maxProblems = 1024

// Problems logs each problem once until its text changes or it is resolved. It is safe for
// concurrent use.
type Problems struct {
	logger   log.Interface
	mutex    sync.Mutex
	lastText map[string]string // text logged last, by event and subject
}

// NewProblems returns a log of problems to logger, without any stored problem.
func NewProblems(logger log.Interface) *Problems {
	return &Problems{logger: logger, lastText: make(map[string]string)}
}

// Log logs a problem unless its text is the one last logged for this event and subject.
func (p *Problems) Log(event, subject string, err error, fields Fields) {
	if p.isNew(event+" "+subject, err.Error()) {
		Problem(p.logger, event, err, fields)
	}
}

// isNew stores the text of a problem and reports whether it differs from the one before.
func (p *Problems) isNew(key, text string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.lastText[key] == text {
		return false
	}
	if len(p.lastText) >= maxProblems {
		clear(p.lastText)
	}
	p.lastText[key] = text
	return true
}

// Resolve marks a problem as resolved, so that its next occurrence is logged.
func (p *Problems) Resolve(event, subject string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.lastText, event+" "+subject)
}
