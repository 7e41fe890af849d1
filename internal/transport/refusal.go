package transport

import "errors"

// cause classifies why a peer was refused, so that one cause is logged once
// whatever the details.
type cause string

// The causes of a refusal.
const (
	causeGarbage        cause = "garbage"        // not the protocol
	causeTooLong        cause = "too-long"       // a line or datagram beyond its bound
	causeBomb           cause = "bomb"           // decodes to far more than was sent
	causeMemory         cause = "memory"         // long lines of all peers exceed their bound
	causeForeign        cause = "foreign"        // a message in another's name
	causeRate           cause = "rate"           // too many messages
	causeAuthentication cause = "authentication" // not proven
	causeOther          cause = "other"
)

// refusal is an error with its cause.
type refusal struct {
	cause cause
	error
}

// Unwrap returns the error itself.
func (r *refusal) Unwrap() error { return r.error }

// refused gives an error its cause.
func refused(cause cause, err error) error { return &refusal{cause: cause, error: err} }

// causeOf returns the cause of an error.
func causeOf(err error) cause {
	var refusal *refusal
	if errors.As(err, &refusal) {
		return refusal.cause
	}
	return causeOther
}
