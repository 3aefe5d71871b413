package targets

import (
	"errors"
	"fmt"
)

// The errors of sending to targets. Package targetshttp wraps transport errors in them.
var (
	// ErrShed means that the target refused the request and did not run it.
	ErrShed = errors.New("target shed the request")
	// ErrSnapshotGone means that the target no longer serves the snapshot.
	ErrSnapshotGone = errors.New("target no longer serves the snapshot")
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent to the target")
	// ErrMismatched means that the reply belongs to another leg.
	ErrMismatched = errors.New("reply belongs to another leg")
	// ErrConnectionLost means that the connection broke while the request was in flight.
	ErrConnectionLost = fmt.Errorf("connection to the target broke: %w", ErrFailed)
	// ErrFailed means that no usable reply arrived. The request may have run.
	ErrFailed = errors.New("target gave no usable reply")
)
