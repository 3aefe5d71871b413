package caller

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulated load: 64 slots with a service time of 4 ms serve 16,000 requests per second. Two organisations of equal
// weight send 2,000 requests per second each; then one of them sends ten times as many, which exceeds the total capacity.
const (
	slots       = 64
	serviceTime = 4 * time.Millisecond
	usualRate   = 2000.0
	floodFactor = 10
	arrivals    = 4000 // requests of the measured organisation
)

type event struct {
	at       time.Time
	arrival  *QueueEntry
	finished *QueueEntry
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// p99 simulates the queue and returns the p99 latency of the measured organisation while the other organisation sends at
// the given rate, and the fraction of the measured organisation's requests that were refused. Without fair queueing all
// requests share one flow.
func p99(otherRate float64, fair, exponential bool) (time.Duration, float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	q := NewQueue(QueueLimits{MaxRunning: slots, MaxWaiting: 512, MaxWait: time.Second})
	now := time.Unix(0, 0)
	var pending events
	measured := map[*QueueEntry]bool{}
	next := func(organisation string, rate float64) {
		t := &QueueEntry{Organisation: organisation, Weight: 1, WaitUntil: now.Add(time.Hour)}
		if !fair {
			t.Organisation = "all"
		}
		if organisation == "measured" {
			measured[t] = true
		}
		heap.Push(&pending, event{at: now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))), arrival: t})
	}
	serve := func(t *QueueEntry) {
		d := serviceTime
		if exponential {
			d = time.Duration(rng.ExpFloat64() * float64(serviceTime))
		}
		heap.Push(&pending, event{at: now.Add(d), finished: t})
	}
	next("measured", usualRate)
	next("other", otherRate)
	var latencies []time.Duration
	refused := 0
	for len(latencies)+refused < arrivals {
		e := heap.Pop(&pending).(event)
		now = e.at
		if t := e.finished; t != nil {
			if measured[t] {
				latencies = append(latencies, now.Sub(t.arrivedAt))
			}
			for _, n := range q.Finish(t, now) {
				serve(n)
			}
			continue
		}
		if measured[e.arrival] {
			next("measured", usualRate)
		} else {
			next("other", otherRate)
		}
		switch d := q.Arrive(e.arrival, now); {
		case d.RunNow:
			serve(e.arrival)
		case d.Refusal != nil && measured[e.arrival], d.Displaced != nil && measured[d.Displaced]:
			refused++
		}
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100], float64(refused) / arrivals
}

// Guards against an organisation at ten times its rate that raises the p99 latency of another by 20% or more, the limit
// that the design sets. The clock is simulated, so the figures are the same on every run.
func TestFloodDoesNotMoveOthers(t *testing.T) {
	for name, exponential := range map[string]bool{"constant": false, "exponential": true} {
		usual, _ := p99(usualRate, true, exponential)
		flooded, refused := p99(floodFactor*usualRate, true, exponential)
		unfair, refusedUnfair := p99(floodFactor*usualRate, false, exponential)
		t.Logf("%s service time: p99 %v; with a flood %v, refused %.2f%%; with a flood and without fair queueing %v, refused %.2f%%",
			name, usual, flooded, 100*refused, unfair, 100*refusedUnfair)
		if flooded >= usual*12/10 {
			t.Errorf("%s service time: p99 rises from %v to %v", name, usual, flooded)
		}
		if refused > 0 {
			t.Errorf("%s service time: %.2f%% of the other organisation's requests were refused", name, 100*refused)
		}
		if unfair < usual*12/10 {
			t.Errorf("%s service time: the flood does not raise p99 without fair queueing either, so the test shows nothing", name)
		}
	}
}
