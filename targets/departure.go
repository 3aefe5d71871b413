package targets

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A target can ask for no new requests in two ways. It is leaving: it says so in its replies until it ends. Or it wants a
// rest: it refused a request and named a time for which it wants no further ones. Both are properties of one incarnation
// at one address, as are the statistics that record them: a new incarnation or address begins with new statistics.

const (
	// maxRest bounds the rest that a target may ask for. A longer one is more likely an error of the target than an
	// intention, and a target that restarts is asked again at once.
	maxRest = time.Hour
	// restSpread is the fraction of a rest by which it is prolonged at most, so that the instances that were asked for
	// the same rest do not return in the same instant.
	restSpread = 0.25
	// maxRestSpread bounds that prolongation.
	maxRestSpread = 2 * time.Second
)

// RecordLeaving records that the target said in a reply that it is leaving. It reports whether this is news.
func (s *TargetStats) RecordLeaving() bool { return s.leaving.CompareAndSwap(false, true) }

// Leaving reports whether the target said that it is leaving.
func (s *TargetStats) Leaving() bool { return s.leaving.Load() }

// ClearLeaving ends the departure: the list of targets showed that the target was draining and now accepts requests.
func (s *TargetStats) ClearLeaving() {
	s.leaving.Store(false)
	s.leavingHint.Store(false)
}

// RecordLeavingHint records that a sibling heard that the target is leaving. Such a target is used only if no other is
// left: it still serves for some time, and its next reply shows whether the hint is true.
func (s *TargetStats) RecordLeavingHint() { s.leavingHint.Store(true) }

// LeavingHint reports whether a sibling heard that the target is leaving.
func (s *TargetStats) LeavingHint() bool { return s.leavingHint.Load() }

// RecordRest records that the target refused a request and wants no further ones for a time. spread is a random number
// from 0 to 1 that selects how much the rest is prolonged. An earlier rest that ends later stays in force. It returns how
// long the target now rests.
func (s *TargetStats) RecordRest(rest time.Duration, spread float64, now time.Time) time.Duration {
	rest = min(rest, maxRest)
	rest += time.Duration(min(float64(rest)*restSpread, float64(maxRestSpread)) * spread)
	until := instant(now.Add(rest))
	for {
		old := s.restUntil.Load()
		if old >= until {
			return time.Duration(old - instant(now))
		}
		if s.restUntil.CompareAndSwap(old, until) {
			return rest
		}
	}
}

// RestLeft returns how long the target still wants no requests, 0 if it accepts them.
func (s *TargetStats) RestLeft(now time.Time) time.Duration {
	until := s.restUntil.Load()
	if until == 0 {
		return 0
	}
	return max(time.Duration(until-instant(now)), 0)
}

// AcceptsRequests reports whether the target neither is leaving nor rests. Choice, hedges, retries, tests of targets that
// did not respond, and the check right before a send all ask it.
func (s *TargetStats) AcceptsRequests(now time.Time) bool {
	return !s.Leaving() && s.RestLeft(now) == 0
}

const (
	// departureRetention is how long a departure is remembered after the target's entry is gone: entries that lapsed come
	// back, and a target that leaves goes on serving for a while.
	departureRetention = 10 * time.Minute
	// departureNoticeTime is how long siblings are told about a departure: several rounds of gossip in a large fleet.
	departureNoticeTime = 10 * time.Second
	// maxDepartureNotices bounds the departures in one message to siblings.
	maxDepartureNotices = 64
	// maxDepartures bounds the departures that are remembered; the oldest are forgotten first.
	maxDepartures = 4096
)

// DepartureNotice tells a sibling that an incarnation of a target said that it is leaving. Age is the time since it said
// so.
type DepartureNotice struct {
	Target, Incarnation, Address string
	Age                          time.Duration
}

// departure is what is known about a target that is leaving.
type departure struct {
	incarnation, address string
	saidAt               time.Time
	hearsay              bool // this instance knows it from a sibling only
}

// Departures remembers the targets that are leaving, independent of their entries in the list. It is not safe for
// concurrent use; the control goroutine owns it.
type Departures struct{ heard map[string]departure }

// NewDepartures returns an empty memory.
func NewDepartures() *Departures { return &Departures{heard: map[string]departure{}} }

// Record records that a target said in a reply to this instance that it is leaving.
func (d *Departures) Record(t *Target, now time.Time) {
	d.put(t.ID, departure{incarnation: t.Incarnation, address: t.Address, saidAt: now})
	d.Apply(t)
}

// Receive records the notices of a sibling and returns the IDs of the targets about which they are news.
func (d *Departures) Receive(notices []DepartureNotice, now time.Time) []string {
	var news []string
	for _, n := range notices {
		old, known := d.heard[n.Target]
		if n.Age < 0 || n.Age > departureNoticeTime || known && old.incarnation == n.Incarnation && old.address == n.Address {
			continue
		}
		d.put(n.Target, departure{incarnation: n.Incarnation, address: n.Address, saidAt: now.Add(-n.Age), hearsay: true})
		news = append(news, n.Target)
	}
	return news
}

func (d *Departures) put(id string, x departure) {
	if _, known := d.heard[id]; !known && len(d.heard) >= maxDepartures {
		oldest := ""
		for other, o := range d.heard {
			if oldest == "" || o.saidAt.Before(d.heard[oldest].saidAt) {
				oldest = other
			}
		}
		delete(d.heard, oldest)
	}
	d.heard[id] = x
}

// Apply marks the statistics of a target that is known to be leaving.
func (d *Departures) Apply(t *Target) {
	x, known := d.heard[t.ID]
	switch {
	case !known || x.incarnation != t.Incarnation || x.address != t.Address:
	case x.hearsay:
		t.Stats.RecordLeavingHint()
	default:
		t.Stats.RecordLeaving()
	}
}

// Cancel forgets the departure of a target whose entry was draining and accepts requests again.
func (d *Departures) Cancel(t *Target) {
	delete(d.heard, t.ID)
	t.Stats.ClearLeaving()
}

// Notices returns the recent departures for siblings, the newest first.
func (d *Departures) Notices(now time.Time) []DepartureNotice {
	var out []DepartureNotice
	for _, id := range slices.Sorted(maps.Keys(d.heard)) {
		x := d.heard[id]
		if age := max(now.Sub(x.saidAt), 0); age <= departureNoticeTime {
			out = append(out, DepartureNotice{Target: id, Incarnation: x.incarnation, Address: x.address, Age: age})
		}
	}
	slices.SortStableFunc(out, func(a, b DepartureNotice) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(len(out), maxDepartureNotices)]
}

// Tick forgets departures after departureRetention.
func (d *Departures) Tick(now time.Time) {
	maps.DeleteFunc(d.heard, func(_ string, x departure) bool { return now.Sub(x.saidAt) > departureRetention })
}
