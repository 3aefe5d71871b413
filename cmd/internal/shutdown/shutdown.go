// Package shutdown holds what the graceful shutdowns of all kinds of instances have in common.
package shutdown

import (
	"context"
	"time"
)

const (
	// quietPeriod is how long no request must have arrived before the listener closes. Closing the listener resets
	// connections that the kernel has accepted and the process has not, which cuts off a request on such a connection.
	quietPeriod = 200 * time.Millisecond
	// quietLimit bounds the wait for the quiet period: some callers keep sending requests although they are refused.
	quietLimit = 2 * time.Second
)

// AwaitQuiet waits until no request has arrived for quietPeriod, for at most quietLimit. lastArrival returns the time of
// the last arrival.
func AwaitQuiet(ctx context.Context, lastArrival func() time.Time) {
	ctx, cancel := context.WithTimeout(ctx, quietLimit)
	defer cancel()
	for ctx.Err() == nil {
		remaining := quietPeriod - time.Since(lastArrival())
		if remaining <= 0 {
			return
		}
		Sleep(ctx, remaining)
	}
}

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
