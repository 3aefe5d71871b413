// Package sibling holds the decisions about the other entry instances: who they are, what each must know, and
// which of them owns what.
//
// The package does no I/O and reads no clock; siblinggrpc connects instances.
package sibling

import "errors"

// The errors of this layer. siblinggrpc turns those of the transport into them.
var (
	// ErrNotSent means that the sibling did not receive the message.
	ErrNotSent = errors.New("sibling unreachable, message not sent")
	// ErrNoReply means that the sibling may have received the message, but no reply came.
	ErrNoReply = errors.New("sibling gave no reply")
)
