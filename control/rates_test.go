package control

import (
	"testing"
	"time"
)

// newFleetOfEight starts 8 instances in 3 zones and advances the clock until they have joined the rate shares.
func newFleetOfEight(static bool, seed uint64, rate, burst float64) *sim {
	s := newSim(seed)
	s.static = static
	s.publishDocument(simDocument(rate, burst, equalFractions()))
	for i := range 8 {
		s.add(simZones[i%3])
	}
	s.publish()
	s.advance(8 * time.Second)
	s.ideal = &bucket{rate: rate, burst: burst, level: burst, at: s.now}
	return s
}

// bucket is one token bucket for the whole fleet. A refusal is wrongful if this bucket would admit the request.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *bucket) admit(now time.Duration) bool {
	b.level = min(b.level+b.rate*(now-b.at).Seconds(), b.burst)
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// offer sends Poisson traffic of one organisation to one instance for d and returns the fraction of requests that are
// refused wrongfully after the first 2 s.
func (s *sim) offer(in *simInstance, rate float64, d time.Duration) float64 {
	end, skip := s.now+d, s.now+2*time.Second
	total, refused := 0, 0
	for s.now < end {
		s.advance(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
		ok := in.request("host")
		if s.ideal != nil && !s.ideal.admit(s.now) {
			continue
		}
		if s.now >= skip {
			total++
			if !ok {
				refused++
			}
		}
	}
	return float64(refused) / float64(total)
}

// refusalTarget is the largest fraction of wrongful refusals that docs/design.md allows.
const refusalTarget = 0.01

// compare offers 90% of the rate to one instance, with a static split of the rate and with rate shares.
func compare(t *testing.T, rate, burst float64, d time.Duration) {
	t.Helper()
	for seed := range uint64(3) {
		static, shares := newFleetOfEight(true, seed, rate, burst), newFleetOfEight(false, seed, rate, burst)
		a, b := static.offer(static.instances[0], 0.9*rate, d), shares.offer(shares.instances[0], 0.9*rate, d)
		t.Logf("rate %v burst %v seed %d: the static split refuses %.3f%%, shares %.3f%%, with %.1f pulls/s",
			rate, burst, seed, 100*a, 100*b, float64(shares.pulls)/d.Seconds())
		if b > refusalTarget {
			t.Errorf("rate %v burst %v seed %d: %.3f%% refused, want at most %v%%", rate, burst, seed, 100*b, 100*refusalTarget)
		}
	}
}

// Guards against refusals of an organisation within its rate whose traffic all arrives at one instance.
func TestWrongfulRefusalsAtOneInstance(t *testing.T) {
	for _, c := range []struct{ rate, burst float64 }{{1000, 1000}, {1000, 500}, {200, 200}, {200, 400}, {50, 100}, {10, 100}} {
		compare(t, c.rate, c.burst, 20*time.Second)
	}
}

// Guards against refusals of an organisation within its rate whose traffic all arrives at one instance and whose burst
// is only a few tokens in the whole fleet.
func TestWrongfulRefusalsAtSmallBurst(t *testing.T) { compare(t, 10, 20, 120*time.Second) }
