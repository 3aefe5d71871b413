package caller

import (
	"testing"
	"time"
)

// Guards against an instance that admits more than its share of a rate in any window, also after an idle period.
func TestRateLimiterAdmitsAtMostRateTimesWindowPlusBurst(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := NewRateLimiter(RateLimits{Limited: true, Rate: 20, Burst: 10}, now)
	now = now.Add(time.Hour)
	var admitted []time.Time
	for range 5000 {
		now = now.Add(3 * time.Millisecond)
		if ok, _ := limiter.Take(now); ok {
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

// Guards against retry delays after which a request is still not admitted, and against a new limiter with a full burst,
// which each restart of an instance would admit again.
func TestRateLimiterStartsWithHalfBurstAndReturnsRetryDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := NewRateLimiter(RateLimits{Limited: true, Rate: 10, Burst: 8}, now)
	n := 0
	for {
		ok, after := limiter.Take(now)
		if !ok {
			if ok, _ = limiter.Take(now.Add(after)); !ok {
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
