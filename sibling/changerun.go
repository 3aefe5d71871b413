package sibling

import "time"

// ChangeRequest is a change that is forwarded to its home instance.
type ChangeRequest struct {
	RequestID      string
	Organisation   string
	Service        string
	IdempotencyKey string
	// KeyDigest is the digest of the caller's API key, empty on open routes, which require no key. The home instance
	// checks that the key is still valid.
	KeyDigest string
	Body      []byte
	// Timeout is the time until the caller's deadline.
	Timeout time.Duration
}

// ChangeReply is the reply of the home instance.
type ChangeReply struct {
	// Moved means that the change did not run because the instances disagree about its home or witness, or because
	// one of them is unavailable. It may be sent again.
	Moved   bool
	Refused *ChangeRefusal
	// RequestID identifies the attempt that ran, which may be an earlier one.
	RequestID string
	Reply     []byte
}

// ChangeRefusal describes why the home instance refused a change.
type ChangeRefusal struct {
	// Code and Ran hold a caller.Code and a caller.Ran.
	Code       string
	Ran        string
	Message    string
	RetryAfter time.Duration
}
