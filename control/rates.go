package control

import (
	"math"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/platform"
)

// tokenLifetime bounds how long traffic may spend a deposit; a process that slept longer spends nothing.
const tokenLifetime = 200 * time.Millisecond

// rates splits every organisation's rate and burst evenly over the listed instances.
type rates struct {
	buckets map[string]*bucket
	last    time.Time
}

type bucket struct {
	pool  *caller.TokenPool
	rate  float64 // tokens a second
	burst float64
	level float64 // fractional tokens, without those in the pool
}

func newRates() *rates { return &rates{buckets: map[string]*bucket{}} }

func (r *rates) configure(doc *platform.Document, instances int) {
	n := float64(max(instances, 1))
	listed := map[string]bool{}
	for _, o := range doc.Organisations {
		listed[o.Name] = true
		b := r.buckets[o.Name]
		if b == nil {
			b = &bucket{pool: &caller.TokenPool{}}
			r.buckets[o.Name] = b
		}
		b.rate, b.burst = o.Rate/n, o.Burst/n
	}
	for name := range r.buckets {
		if !listed[name] {
			delete(r.buckets, name)
		}
	}
}

// refill accrues tokens since the last call and deposits the whole ones.
func (r *rates) refill(now time.Time) {
	elapsed := now.Sub(r.last).Seconds()
	if r.last.IsZero() {
		elapsed = 0
	}
	r.last = now
	for _, b := range r.buckets {
		// The pool keeps its tokens meanwhile: taking them back refused requests that came between the two steps.
		b.level = max(min(b.level+b.rate*elapsed, b.burst-float64(b.pool.Unspent())), 0)
		whole := math.Floor(b.level)
		b.level -= whole
		b.pool.Deposit(int64(whole), now.Add(tokenLifetime))
	}
}

func (r *rates) pool(organisation string) *caller.TokenPool {
	if b := r.buckets[organisation]; b != nil {
		return b.pool
	}
	return nil
}

func (r *rates) pools() map[string]*caller.TokenPool {
	out := make(map[string]*caller.TokenPool, len(r.buckets))
	for name, b := range r.buckets {
		out[name] = b.pool
	}
	return out
}
