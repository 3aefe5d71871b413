package sibling

import "time"

// ChangeRequest is a change as forwarded to its home instance.
type ChangeRequest struct {
	RequestID      string
	Organisation   string
	Service        string
	IdempotencyKey string
	// KeyDigest is the digest of the caller's key, empty on open routes. The home instance checks that the key is
	// still valid.
	KeyDigest string
	Body      []byte
	// Timeout is the time that is left.
	Timeout time.Duration
}

// ChangeReply is the home instance's answer.
type ChangeReply struct {
	// Moved says that the change did not run because the instances disagree about the home or the witness, or
	// one of them is away. It may be sent again.
	Moved   bool
	Refused *ChangeRefusal
	// RequestID names the attempt that ran, which may be an earlier one.
	RequestID string
	Reply     []byte
}

// ChangeRefusal is the home instance's refusal.
type ChangeRefusal struct {
	Code       string
	Ran        string
	Message    string
	RetryAfter time.Duration
}
