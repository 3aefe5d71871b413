package targets

import (
	"sync"
	"time"
)

// Arrivals estimates when the replies to open sends of a route arrive, from how long earlier sends took. For each age of a
// send it counts the sends that were still open at that age and those of them that were answered at it, so that a send that
// was cancelled counts for as long as it was open. It is safe for concurrent use.
//
// Targets that pause make the latencies bimodal: most replies take the usual time, and a send that is older than that will
// not be answered before the pause ends. A quantile cannot tell this; the chance of a reply at each age can.
type Arrivals struct {
	width time.Duration // of a slot
	mu    sync.Mutex
	// open and answered hold the weights of sends by age. The last slot holds all greater ages.
	open, answered [arrivalSlots]float64
}

const (
	// arrivalSlots is the number of ages that are told apart, and arrivalSlotsPerObjective how many of them make up the
	// latency objective of the route.
	arrivalSlots             = 48
	arrivalSlotsPerObjective = 32
	// maxArrivalWeight is the number of sends that the estimate remembers, about 40 requests to 90 shards. Older sends
	// lose half of their weight each time it is reached, so that a change of the latencies shows within seconds.
	maxArrivalWeight = 4096
	// minArrivalWeight is the number of sends of an age without which nothing is known about that age.
	minArrivalWeight = 4
)

// NewArrivals returns an estimate without samples for a route with the given latency objective.
func NewArrivals(objective time.Duration) *Arrivals {
	return &Arrivals{width: max(objective/arrivalSlotsPerObjective, time.Millisecond)}
}

func (a *Arrivals) slot(age time.Duration) int {
	return min(max(int(age/a.width), 0), arrivalSlots-1)
}

// Observe adds a send that was open for the given time and then answered, or not (cancelled, failed).
func (a *Arrivals) Observe(open time.Duration, answered bool) {
	last := a.slot(open)
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range last + 1 {
		a.open[i]++
	}
	if answered {
		a.answered[last]++
	}
	if a.open[0] < maxArrivalWeight {
		return
	}
	for i := range a.open {
		a.open[i] /= 2
		a.answered[i] /= 2
	}
}

// Chance returns the probability, from 0 to 1, that a send of the given age is answered before it is older by wait. It is 1
// if too few sends were open at these ages to tell: waiting for such a send is how its chance becomes known.
func (a *Arrivals) Chance(age, wait time.Duration) float64 {
	if wait <= 0 {
		return 0
	}
	first, last := a.slot(age), a.slot(age+wait)
	unanswered := 1.0
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := first; i <= last; i++ {
		if a.open[i] < minArrivalWeight {
			return 1
		}
		unanswered *= 1 - a.answered[i]/a.open[i]
	}
	return 1 - unanswered
}
