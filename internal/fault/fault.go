// Package fault defines the typed errors of sliphead. Each error has a kind, a description and
// a remedy, so that an operator can act on the log line alone.
package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error by the party that has to act on it.
type Kind string

// The kinds of error.
const (
	Settings    Kind = "settings"    // the settings file or flags are wrong
	Declaration Kind = "declaration" // the operators' declarations are wrong
	Source      Kind = "source"      // the configuration service failed or sent an invalid response
	Peer        Kind = "peer"        // another node failed or violated the protocol
	Worker      Kind = "worker"      // the back end failed or violated HTTP
	Caller      Kind = "caller"      // the caller's request is malformed or not routable
	Overload    Kind = "overload"    // a limit was reached; retry later
	Deadline    Kind = "deadline"    // the deadline has passed
	Unready     Kind = "unready"     // the node lacks what it needs to serve
	Claim       Kind = "claim"       // a request that must not be repeated could not be claimed
	Internal    Kind = "internal"    // a defect in sliphead itself
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind   Kind
	What   string // what is wrong, in one sentence without a full stop
	Remedy string // what to do about it, in one sentence without a full stop
	cause  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := e.What
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return fmt.Sprintf("%s (remedy: %s)", text, e.Remedy)
}

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of the given kind.
func New(kind Kind, remedy, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Kind: kind, What: fmt.Sprintf(format, args...), Remedy: remedy}, 1)
}

// Wrap returns an error of the given kind with a cause, nil if the cause is nil.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	failure := &Error{Kind: kind, What: fmt.Sprintf(format, args...), Remedy: remedy, cause: cause}
	return errors.WithStackDepth(failure, 1)
}

// KindOf returns the kind of the outermost typed error in the chain, Internal
// when the chain holds none and the empty kind for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}
