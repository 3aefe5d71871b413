package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
)

const (
	rollingNotice = 2500 * time.Millisecond
	// rollingEnds is when a stopping instance admits nothing any more at the latest.
	rollingEnds = 5300 * time.Millisecond
	// rollingInRotation is how long after its stop begins an instance still gets new requests, rollingTail how long some
	// kept connections bring requests, and rollingDown the time from the end of its process to the next start.
	rollingInRotation = 2200 * time.Millisecond
	rollingTail       = 3500 * time.Millisecond
	rollingDown       = 600 * time.Millisecond
	// exitTime is the time from the last request of a stopping instance to the end of its process.
	exitTime   = 20 * time.Millisecond
	rateWindow = 5 * time.Second
)

// rollingRun is a fleet whose instances are stopped and started in turn while an organisation sends requests.
type rollingRun struct {
	*storeFleet
	rng *rand.Rand
	// stopping holds when the stop of an instance began.
	stopping map[*fleetMember]time.Time
	requests int
	admitted []time.Time
}

func newRollingRun(instances, zones int, rate, burst float64) *rollingRun {
	x := &rollingRun{storeFleet: newStoreFleet(instances, zones, rateBounds), rng: rand.New(rand.NewPCG(3, uint64(instances))), stopping: map[*fleetMember]time.Time{}}
	x.write(Change{Kind: KindRouting, Routing: &document.Routing{Version: 2, Accounts: []document.Account{{Organisation: document.Organisation{
		Name: rateOrganisation, Rate: rate, Burst: burst,
	}}}}})
	x.run(5 * time.Second)
	return x
}

// send lets the organisation send perSecond requests a second for d, to instances that get callers.
func (x *rollingRun) send(perSecond float64, d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.run(fleetStep)
		for n := perSecond * fleetStep.Seconds(); n > x.rng.Float64(); n-- {
			m := x.members[x.rng.IntN(len(x.members))]
			for m.state == nil || !x.gets(m) {
				m = x.members[x.rng.IntN(len(x.members))]
			}
			x.requests++
			if l := m.state.limiters[rateOrganisation]; l != nil {
				if ok, _ := l.limiter.Take(x.now); ok {
					x.admitted = append(x.admitted, x.now)
				}
			}
		}
	}
}

// gets reports whether callers send a request to an instance.
func (x *rollingRun) gets(m *fleetMember) bool {
	since, stopping := x.stopping[m]
	if !stopping || x.now.Sub(since) < rollingInRotation {
		return m.state.Snapshot().Ready || stopping
	}
	return x.rng.Float64() < 0.05
}

// roll stops an instance and starts it again.
func (x *rollingRun) roll(m *fleetMember, zones int) {
	if m.state == nil || !x.stopping[m].IsZero() {
		return
	}
	x.stopping[m] = x.now
	m.step(Leaving{Stop: caller.Stop{NoticeEnds: x.now.Add(rollingNotice), Ends: x.now.Add(rollingEnds)}})
	m.after(rollingTail, func() {
		m.step(Drained{})
	})
	m.after(rollingTail+exitTime, func() {
		m.stop()
		delete(x.stopping, m)
		x.after(rollingDown, func() { m.start(zones, false) })
	})
}

// most returns the largest number of admitted requests in a window.
func (x *rollingRun) most() int {
	most, from := 0, 0
	for i, at := range x.admitted {
		for x.admitted[from].Before(at.Add(-rateWindow)) {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against instances that divide the share of a stopping one among them while it still spends it: an organisation that
// sends several times its rate while instances are stopped and started in turn gets more than the tolerated number of requests.
func TestRollingRestartsStayWithinTheRate(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		instances, zones int
		rate             float64
		gap, length      time.Duration
	}{
		{9, 3, 64, time.Second, 18 * time.Second}, {9, 3, 12, 600 * time.Millisecond, 18 * time.Second},
		{86, 3, 200, 120 * time.Millisecond, 8 * time.Second}, {295, 6, 400, 40 * time.Millisecond, 6 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d instances, %v requests a second", c.instances, c.rate), func(t *testing.T) {
			t.Parallel()
			x := newRollingRun(c.instances, c.zones, c.rate, c.rate)
			limit := (c.rate*rateWindow.Seconds()+c.rate)*(1+rateBounds.RateOverage) + rateBounds.RateSlack
			x.send(7.5*c.rate, 3*time.Second)
			for n := range c.length / c.gap {
				x.roll(x.members[(int(n)*7)%c.instances], c.zones)
				x.send(7.5*c.rate, c.gap)
			}
			t.Logf("at most %d of %.0f in %v", x.most(), limit, rateWindow)
			if float64(x.most()) > limit {
				t.Errorf("%d requests in %v, want at most %.0f", x.most(), rateWindow, limit)
			}
		})
	}
}

// Guards against refusals below the rate while the shares of instances that are stopped and started in turn move.
func TestRollingRestartsRefuseLittleBelowTheRate(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{64, 12} {
		t.Run(fmt.Sprint(rate, " requests a second"), func(t *testing.T) {
			x := newRollingRun(9, 3, rate, rate)
			x.send(0.6*rate, 4*time.Second)
			x.requests, x.admitted = 0, nil
			for n := range 60 {
				x.roll(x.members[n*7%9], 3)
				x.send(0.6*rate, time.Second)
			}
			refused := x.requests - len(x.admitted)
			t.Logf("%d of %d refused", refused, x.requests)
			if float64(refused) >= 0.01*float64(x.requests) {
				t.Errorf("%d of %d refused at 60%% of the rate, want less than 1 in 100", refused, x.requests)
			}
		})
	}
}

// Guards against a number of instances that siblings report to each other for ever after some of them have left, so that a
// part of each limit stays unused.
func TestLimitsAreDividedAmongThoseThatAreLeft(t *testing.T) {
	f := newStoreFleet(6, 2, rateBounds)
	f.run(5 * time.Second)
	for _, m := range f.members[2:] {
		m.step(Leaving{Stop: caller.Stop{NoticeEnds: f.now.Add(rollingNotice), Ends: f.now.Add(rollingEnds)}})
		m.after(rollingNotice, func() { m.step(Drained{}) })
		m.after(rollingNotice+exitTime, m.stop)
	}
	f.run(rollingNotice + 5*time.Second)
	for _, m := range f.members[:2] {
		if n := m.state.limitSharers(f.now); n != 2 {
			t.Errorf("%s divides limits among %d instances, want 2", m.address(), n)
		}
	}
}
