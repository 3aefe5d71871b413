package caller

import (
	"testing"
	"time"
)

// Guards against an instance that admits more than its part of a rate in some window, also after it was idle.
func TestGateAdmitsAtMostRateTimesWindowPlusBurst(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewRateLimiter(RateLimits{Limited: true, Rate: 20, Burst: 10}, now)
	now = now.Add(time.Hour)
	var admitted []time.Time
	for range 5000 {
		now = now.Add(3 * time.Millisecond)
		if ok, _ := g.Take(now); ok {
			admitted = append(admitted, now)
		}
	}
	for i, from := range admitted {
		n := 0
		for _, at := range admitted[i:] {
			if at.Sub(from) < 5*time.Second {
				n++
			}
		}
		if n > 20*5+10 {
			t.Fatalf("%d admitted in 5 s", n)
		}
	}
	if len(admitted) < 20*15 {
		t.Errorf("only %d admitted in 15 s", len(admitted))
	}
}

// Guards against a refused caller that is told to come back before it can be admitted, and against a new gate with
// a whole burst, which a restart would hand out again.
func TestGateStartsLowAndSaysWhenToComeBack(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewRateLimiter(RateLimits{Limited: true, Rate: 10, Burst: 8}, now)
	n := 0
	for {
		ok, after := g.Take(now)
		if !ok {
			if ok, _ = g.Take(now.Add(after)); !ok {
				t.Errorf("not admitted %v later", after)
			}
			break
		}
		n++
	}
	if n != 4 {
		t.Errorf("%d admitted at the start, want half of the burst", n)
	}
}
