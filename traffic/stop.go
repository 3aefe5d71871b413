package traffic

import (
	"sync/atomic"
	"time"

	"dogwooddrift.org/drift/caller"
)

// stopping is the last part of a planned stop, as seen by traffic. The plan of the stop is in the control snapshot.
type stopping struct {
	refusesAll atomic.Bool
	// ended is closed when the requests that still run must end.
	ended chan struct{}
}

// RefuseAll makes the forwarder refuse each further request. It must be called before connections of callers are closed,
// so that a request that crosses the close of its connection is not passed on.
func (f *Forwarder) RefuseAll() { f.stopping.refusesAll.Store(true) }

// EndRunning makes the requests that still run end at once with what is known of their outcome. It must be called at most
// once.
func (f *Forwarder) EndRunning() { close(f.stopping.ended) }

// stopRefusal returns the refusal of a request with the given deadline that the planned stop of this instance leaves no time
// for, nil if the request is accepted. stop is nil if the instance is not stopping.
func (f *Forwarder) stopRefusal(stop *caller.Stop, deadline, now time.Time) *caller.Refusal {
	if !f.stopping.refusesAll.Load() && (stop == nil || stop.Accepts(deadline, now)) {
		return nil
	}
	return caller.Refuse(caller.CodeDraining, 0, "the instance is stopping")
}
