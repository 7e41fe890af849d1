package source

import (
	"github.com/apex/log"

	"sliphead/internal/logging"
)

// problems logs each problem once until it changes or is settled.
type problems struct {
	logger log.Interface
	last   map[string]string // text logged last, by event and subject
}

// newProblems returns an empty set.
func newProblems(logger log.Interface) problems {
	return problems{logger: logger, last: make(map[string]string)}
}

// log logs a problem unless it is the one logged last for that subject.
func (p problems) log(event, subject string, err error, fields logging.Fields) {
	key, text := event+" "+subject, err.Error()
	if p.last[key] == text {
		return
	}
	p.last[key] = text
	logging.Problem(p.logger, event, err, fields)
}

// settled forgets a problem, so that its next occurrence is logged.
func (p problems) settled(event, subject string) { delete(p.last, event+" "+subject) }
