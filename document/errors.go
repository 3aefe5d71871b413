package document

import "errors"

// Errors of reading the platform. documenthttp wraps transport errors in them.
var (
	// ErrUnavailable means that the platform did not answer in time or answered with an error.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrMalformed means that an answer of the platform could not be decoded.
	ErrMalformed = errors.New("platform answer malformed")
)
