// Package sibling contains the state machines by which the entry instances of a fleet coordinate: membership,
// dissemination of published values, the log of non-idempotent requests (changes), and the sharing of rate limits.
//
// The package does no I/O and reads no clock; siblinggrpc connects the instances.
package sibling

import "errors"

// Errors of calls to siblings. siblinggrpc translates transport errors into them.
var (
	// ErrNotSent means that the sibling did not receive the message.
	ErrNotSent = errors.New("sibling unreachable, message not sent")
	// ErrNoReply means that no reply arrived. The sibling may have received the message.
	ErrNoReply = errors.New("sibling gave no reply")
	// ErrNotConfirmed means that the sibling did not confirm, or not in time, that it began. It does not begin later, but may
	// have begun if the confirmation was lost.
	ErrNotConfirmed = errors.New("sibling did not confirm the request")
)
