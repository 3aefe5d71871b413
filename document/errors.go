package document

import "errors"

// The errors of this layer. documenthttp turns those of the transport into them.
var (
	// ErrUnavailable means that the platform did not answer.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrMalformed means that the platform's answer could not be decoded.
	ErrMalformed = errors.New("platform answer malformed")
)
