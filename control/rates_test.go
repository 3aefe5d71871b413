package control

import (
	"testing"
	"time"
)

// eight starts 8 instances in 3 zones and lets them join.
func eight(static bool, rate, burst float64) *sim {
	s := newSim(1)
	s.static = static
	s.publishDocument(simDocument(rate, burst, equalFractions()))
	for i := range 8 {
		s.add(simZones[i%3])
	}
	s.publish()
	s.advance(8 * time.Second)
	return s
}

// bucket is one token bucket for the whole fleet. A refusal is wrongful if it would have admitted the request.
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

// offer sends Poisson traffic of one organisation to one instance and returns the part that is refused
// wrongfully after the first 2 s.
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

// Guards against refusals of an organisation within its rate whose whole traffic arrives at one instance.
func TestWrongfulRefusalsAtOneInstance(t *testing.T) {
	for _, c := range []struct{ rate, burst float64 }{{1000, 1000}, {1000, 2000}, {1000, 500}, {200, 200}, {200, 400}, {50, 100}, {10, 20}, {10, 100}} {
		static, shares := eight(true, c.rate, c.burst), eight(false, c.rate, c.burst)
		shares.ideal = &bucket{rate: c.rate, burst: c.burst, level: c.burst}
		static.ideal = &bucket{rate: c.rate, burst: c.burst, level: c.burst}
		a := static.offer(static.instances[0], 0.9*c.rate, 120*time.Second)
		b := shares.offer(shares.instances[0], 0.9*c.rate, 120*time.Second)
		t.Logf("rate %v burst %v: static split refuses %.3f%%, shares %.3f%%, %d pulls in 120 s", c.rate, c.burst, 100*a, 100*b, shares.pulls)
	}
}
