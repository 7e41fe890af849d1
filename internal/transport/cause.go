package transport

import "errors"

// cause classifies why a peer's stream or datagram was rejected. It is part of the
// log limiter's key, so that errors that differ only in details are logged once.
type cause string

// The causes of a rejection.
const (
	causeGarbage        cause = "garbage"        // violates the protocol
	causeTooLong        cause = "too-long"       // a line or datagram exceeds its maximum length
	causeBomb           cause = "bomb"           // decodes to far more bytes than were received
	causeMemory         cause = "memory"         // long lines of all peers exceed their memory budget
	causeForeign        cause = "foreign"        // a message in the name of another node
	causeRate           cause = "rate"           // too many messages
	causeAuthentication cause = "authentication" // the peer is not authenticated
	causeOther          cause = "other"
)

// causedError is an error with a cause.
type causedError struct {
	cause cause
	error
}

// Unwrap returns the error without the cause.
func (r *causedError) Unwrap() error { return r.error }

// withCause attaches a cause to an error.
func withCause(cause cause, err error) error { return &causedError{cause: cause, error: err} }

// causeOf returns the cause attached to an error, causeOther if there is none.
func causeOf(err error) cause {
	var caused *causedError
	if errors.As(err, &caused) {
		return caused.cause
	}
	return causeOther
}
