package targets

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"time"
)

// Fingerprint identifies requests of the same service and text. All instances compute the same value.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(service, text string) Fingerprint {
	h := sha256.New()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(text))
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

func (p Fingerprint) String() string { return hex.EncodeToString(p[:4]) }

// WarmNotice tells siblings that an incarnation of a target is warm.
type WarmNotice struct{ Target, Incarnation string }

// CrashNotice tells siblings which requests were running on a target when it crashed.
type CrashNotice struct {
	Target string
	// Incarnation is the one that crashed.
	Incarnation string
	Suspects    []Fingerprint
}

// QuarantineNotice tells siblings that a request is refused for the remaining time.
type QuarantineNotice struct {
	Fingerprint Fingerprint
	Remaining   time.Duration
}

// Notices is a message between instances about targets and requests.
type Notices struct {
	Warm        []WarmNotice
	Crashes     []CrashNotice
	Quarantined []QuarantineNotice
	// Departures lists the targets that are leaving. Only instances that forward requests send it.
	Departures []DepartureNotice
}

func (n Notices) empty() bool { return len(n.Warm)+len(n.Crashes)+len(n.Quarantined) == 0 }

const (
	// A broken connection counts as a crash if the target changes its incarnation or is lost within lossWindow.
	lossWindow = 10 * time.Second
	// crashMemory is how long a crash counts against the requests that were running.
	crashMemory = 10 * time.Minute
	// quarantineTime is how long a request is refused.
	quarantineTime = 10 * time.Minute
	// maxSuspects bounds the requests recorded for one target or crash; further ones are dropped.
	maxSuspects = 32
	// minCrashes is the number of crashes at which a request must have been running to be quarantined.
	minCrashes = 2
)

// quarantine decides which requests crash targets. It quarantines a request after two crashes at which it was running,
// if no other request that was running there was part of as many crashes. From three crashes on, one such other request
// per crash is allowed.
type quarantine struct {
	brokenLegs       map[string][]brokenLeg // by target; not yet attributed to a crash
	crashes          map[crashKey]*crash
	quarantinedUntil map[Fingerprint]time.Time
	published        map[Fingerprint]time.Time // copy of quarantinedUntil that is never modified
	pending          Notices                   // notices for siblings that were not taken yet
}

type brokenLeg struct {
	fingerprint Fingerprint
	at          time.Time
}

type crashKey struct{ target, incarnation string }

type crash struct {
	at       time.Time
	suspects map[Fingerprint]bool
}

func newQuarantine() *quarantine {
	return &quarantine{
		brokenLegs: map[string][]brokenLeg{}, crashes: map[crashKey]*crash{}, quarantinedUntil: map[Fingerprint]time.Time{},
	}
}

// recordBrokenConnection records that a connection broke while a request was running.
func (q *quarantine) recordBrokenConnection(target string, p Fingerprint, now time.Time) {
	if p != (Fingerprint{}) && len(q.brokenLegs[target]) < maxSuspects {
		q.brokenLegs[target] = append(q.brokenLegs[target], brokenLeg{p, now})
	}
}

// recordTargetLost records that an incarnation ended or cannot be reached. If legs broke shortly before, this is a
// crash with their requests as suspects.
func (q *quarantine) recordTargetLost(target, incarnation string, now time.Time) {
	n := CrashNotice{Target: target, Incarnation: incarnation}
	for _, b := range q.brokenLegs[target] {
		if now.Sub(b.at) <= lossWindow {
			n.Suspects = append(n.Suspects, b.fingerprint)
		}
	}
	delete(q.brokenLegs, target)
	if len(n.Suspects) == 0 {
		return
	}
	q.pending.Crashes = append(q.pending.Crashes, n)
	q.addCrash(n, now)
	for p := range q.quarantinedUntil {
		if _, known := q.published[p]; !known {
			q.pending.Quarantined = append(q.pending.Quarantined, QuarantineNotice{p, quarantineTime})
		}
	}
	q.publish()
}

// addCrash records a crash and quarantines the suspects that are now blamed.
func (q *quarantine) addCrash(n CrashNotice, now time.Time) {
	key := crashKey{n.Target, n.Incarnation}
	c := q.crashes[key]
	if c == nil {
		c = &crash{at: now, suspects: map[Fingerprint]bool{}}
		q.crashes[key] = c
	}
	for _, p := range n.Suspects {
		if len(c.suspects) < maxSuspects {
			c.suspects[p] = true
		}
	}
	counts := map[Fingerprint]int{}
	for _, c := range q.crashes {
		for p := range c.suspects {
			counts[p]++
		}
	}
	for p := range c.suspects {
		if _, refused := q.quarantinedUntil[p]; !refused && q.blamed(p, counts) {
			q.quarantinedUntil[p] = now.Add(quarantineTime)
		}
	}
}

// blamed reports whether a request is to be quarantined. counts is the number of recorded crashes of each request.
func (q *quarantine) blamed(p Fingerprint, counts map[Fingerprint]int) bool {
	allowedRivals := 0
	if counts[p] > minCrashes {
		allowedRivals = 1
	}
	conclusive := 0
	for _, c := range q.crashes {
		if !c.suspects[p] {
			continue
		}
		rivals := 0
		for other := range c.suspects {
			if other != p && counts[other] >= counts[p] {
				rivals++
			}
		}
		if rivals <= allowedRivals {
			conclusive++
		}
	}
	return conclusive >= minCrashes
}

// receiveNotices records notices from a sibling.
func (q *quarantine) receiveNotices(n Notices, now time.Time) {
	for _, c := range n.Crashes {
		q.addCrash(c, now)
	}
	for _, x := range n.Quarantined {
		if _, known := q.quarantinedUntil[x.Fingerprint]; !known && x.Remaining > 0 {
			q.quarantinedUntil[x.Fingerprint] = now.Add(min(x.Remaining, quarantineTime))
		}
	}
	q.publish()
}

// publish replaces the published copy if the quarantines have changed.
func (q *quarantine) publish() {
	if !maps.Equal(q.quarantinedUntil, q.published) {
		q.published = maps.Clone(q.quarantinedUntil)
	}
}

// quarantineNotices returns a notice for each quarantine in force.
func (q *quarantine) quarantineNotices(now time.Time) []QuarantineNotice {
	var out []QuarantineNotice
	for p, until := range q.quarantinedUntil {
		out = append(out, QuarantineNotice{p, until.Sub(now)})
	}
	return out
}

// takeNotices returns the notices for siblings since the previous call.
func (q *quarantine) takeNotices() Notices {
	out := q.pending
	q.pending = Notices{}
	return out
}

// tick removes expired entries.
func (q *quarantine) tick(now time.Time) {
	maps.DeleteFunc(q.brokenLegs, func(_ string, legs []brokenLeg) bool {
		return now.Sub(legs[len(legs)-1].at) > lossWindow
	})
	maps.DeleteFunc(q.crashes, func(_ crashKey, c *crash) bool { return now.Sub(c.at) > crashMemory })
	maps.DeleteFunc(q.quarantinedUntil, func(_ Fingerprint, until time.Time) bool { return !now.Before(until) })
	q.publish()
}
