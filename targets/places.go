package targets

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// placePatience is the time after which a part that waits for a place is overdue: about the latency objective of ordinary
	// requests, within which an urgent request has its answer.
	placePatience = 100 * time.Millisecond
	// placeFallbackInterval is the interval at which a waiting part looks for a place without having been called: places also
	// arise when a target is added, when its limit rises, and when a cold target may get its next request.
	placeFallbackInterval = 10 * time.Millisecond
)

// Places orders the parts of requests that wait here because all places at their targets are taken. A place that becomes free
// is offered to the most urgent part that may use it, and nobody who comes later takes it before. As in Order, one offer in
// turnsPerOverdue goes to the part that has waited longest if it is overdue. Traffic owns it; it is safe for concurrent use.
type Places struct {
	waiting  atomic.Int64
	mu       sync.Mutex
	services map[string]*placeQueue
	byRank   []int
	arrivals int
	latest   time.Time // latest time that was passed in
}

// placeQueue holds the waiting parts of one service in their order.
type placeQueue struct {
	waiters []*PlaceWaiter
	turns   int // offers since the last one to an overdue part
}

// PlaceWaiter is a part that waits for a place at one of its targets.
type PlaceWaiter struct {
	service   string
	key       OrderKey
	targets   []*Target
	wake      func()
	arrival   int
	arrivedAt time.Time
	called    bool
	claim     string // ID of the target at which an overdue part goes before more urgent ones, "" if none
}

// NewPlaces returns an order in which nothing waits.
func NewPlaces() *Places { return &Places{services: map[string]*placeQueue{}} }

// Waiting returns the number of waiting parts by rank.
func (p *Places) Waiting() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.byRank)
}

// Ahead returns the number of parts that wait for a place at targets of the service and go before a new one with the key.
func (p *Places) Ahead(service string, k OrderKey) int {
	if p.waiting.Load() == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.services[service]
	if q == nil {
		return 0
	}
	n, _ := slices.BinarySearchFunc(q.waiters, &PlaceWaiter{key: k, arrival: p.arrivals + 1}, (*PlaceWaiter).compare)
	return n
}

// Freed offers the place at a target that a request has left. Without waiting parts it costs one atomic read.
func (p *Places) Freed(t *Target, now time.Time) {
	if p == nil || p.waiting.Load() == 0 {
		return
	}
	p.mu.Lock()
	p.latest = now
	w := p.services[t.Service].offer(t.ID, now)
	p.mu.Unlock()
	if w != nil {
		w.wake()
	}
}

// wait makes a part wait for a place at one of the targets. wake is called, on any goroutine and without blocking, when a place
// is offered. w is the waiter of the part if it waits already: its offer has been used in vain.
func (p *Places) wait(w *PlaceWaiter, service string, k OrderKey, targets []*Target, wake func(), now time.Time) *PlaceWaiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latest = now
	if w != nil {
		w.targets, w.claim = targets, ""
		return w
	}
	p.arrivals++
	w = &PlaceWaiter{service: service, key: k, targets: targets, wake: wake, arrival: p.arrivals, arrivedAt: now}
	q := p.services[service]
	if q == nil {
		q = &placeQueue{}
		p.services[service] = q
	}
	i, _ := slices.BinarySearchFunc(q.waiters, w, (*PlaceWaiter).compare)
	q.waiters = slices.Insert(q.waiters, i, w)
	for len(p.byRank) <= k.Rank {
		p.byRank = append(p.byRank, 0)
	}
	p.byRank[k.Rank]++
	p.waiting.Add(1)
	return w
}

// takeCall reports whether a place was offered to the part since the last call.
func (p *Places) takeCall(w *PlaceWaiter) bool {
	if w == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	called := w.called
	w.called = false
	return called
}

// leave ends the wait of a part and returns how long it was, up to the latest event. The places at its targets that it has not
// used are offered to the next ones.
func (p *Places) leave(w *PlaceWaiter) time.Duration {
	p.mu.Lock()
	q := p.services[w.service]
	i, _ := slices.BinarySearchFunc(q.waiters, w, (*PlaceWaiter).compare)
	q.waiters = slices.Delete(q.waiters, i, i+1)
	p.byRank[w.key.Rank]--
	p.waiting.Add(-1)
	var next []*PlaceWaiter
	for _, t := range w.targets {
		if t.Stats.Outstanding() >= t.Limit {
			continue
		}
		if n := q.offer(t.ID, p.latest); n != nil {
			next = append(next, n)
		}
	}
	if len(q.waiters) == 0 {
		delete(p.services, w.service)
	}
	waited := p.latest.Sub(w.arrivedAt)
	p.mu.Unlock()
	for _, n := range next {
		n.wake()
	}
	return waited
}

// reserved reports whether a place at the target belongs to a part that waits and goes before one with the given key. w is the
// waiter of the asking part, nil if it does not wait.
func (p *Places) reserved(t *Target, w *PlaceWaiter, k OrderKey) bool {
	if p == nil || p.waiting.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.services[t.Service]
	if q == nil || w != nil && w.claim == t.ID {
		return false
	}
	asking := w
	if asking == nil {
		asking = &PlaceWaiter{key: k, arrival: p.arrivals + 1}
	}
	for _, x := range q.waiters {
		if x != w && x.wants(t.ID) && (x.claim == t.ID || x.compare(asking) < 0) {
			return true
		}
	}
	return false
}

// offer calls the part whose turn it is for a place at the target, nil if none wants it or each of those is called already.
func (q *placeQueue) offer(target string, now time.Time) *PlaceWaiter {
	if q == nil {
		return nil
	}
	var first, oldest *PlaceWaiter
	for _, w := range q.waiters {
		if w.called || !w.wants(target) {
			continue
		}
		if first == nil {
			first = w
		}
		if oldest == nil || w.arrival < oldest.arrival {
			oldest = w
		}
	}
	if first == nil {
		return nil
	}
	q.turns++
	if q.turns >= turnsPerOverdue && now.Sub(oldest.arrivedAt) > placePatience {
		q.turns, first = 0, oldest
		first.claim = target
	}
	first.called = true
	return first
}

// wants reports whether the part may run at the target.
func (w *PlaceWaiter) wants(target string) bool {
	return slices.ContainsFunc(w.targets, func(t *Target) bool { return t.ID == target })
}

// compare compares two waiters; the one that is served first is less.
func (w *PlaceWaiter) compare(other *PlaceWaiter) int {
	return cmp.Or(w.key.compare(other.key), cmp.Compare(w.arrival, other.arrival))
}
