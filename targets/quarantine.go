package targets

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"time"
)

// Fingerprint identifies requests of the same service and text. It is the same at every instance.
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

// WarmNotice says that an incarnation of a target is warm.
type WarmNotice struct{ Target, Incarnation string }

// CrashNotice says that requests were running on a target when it crashed.
type CrashNotice struct {
	Target string
	// Incarnation is the one that ended.
	Incarnation string
	Suspects    []Fingerprint
}

// QuarantineNotice says that a request is refused for a time.
type QuarantineNotice struct {
	Fingerprint Fingerprint
	Remaining   time.Duration
}

// Notices is what instances tell each other about targets and requests.
type Notices struct {
	Warm        []WarmNotice
	Crashes     []CrashNotice
	Quarantined []QuarantineNotice
}

func (n Notices) empty() bool { return len(n.Warm)+len(n.Crashes)+len(n.Quarantined) == 0 }

const (
	// lossWindow is how soon after a broken connection a new incarnation or a lost target makes it a crash.
	lossWindow = 10 * time.Second
	// crashMemory is how long a crash counts against the requests that were running.
	crashMemory = 10 * time.Minute
	// quarantineTime is how long a request is refused.
	quarantineTime = 10 * time.Minute
	// maxSuspects bounds the requests remembered for one target; more than that are dropped.
	maxSuspects = 32
	// minCrashes is how many crashes a request must have been running at.
	minCrashes = 2
)

// quarantine decides which requests crash targets. A request is blamed when it was running at two crashes and no
// other request was running at those as often; with three crashes one other is allowed.
type quarantine struct {
	brokenLegs       map[string][]brokenLeg // by target
	crashes          map[crashKey]*crash
	quarantinedUntil map[Fingerprint]time.Time // until when
	published        map[Fingerprint]time.Time // copy that is not changed
	pending          Notices
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

// broken notes a connection that broke while a request was running.
func (q *quarantine) recordBrokenConnection(target string, p Fingerprint, now time.Time) {
	if p != (Fingerprint{}) && len(q.brokenLegs[target]) < maxSuspects {
		q.brokenLegs[target] = append(q.brokenLegs[target], brokenLeg{p, now})
	}
}

// lost notes that an incarnation ended or cannot be reached. The legs that broke shortly before are its suspects.
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

func (q *quarantine) blamed(p Fingerprint, counts map[Fingerprint]int) bool {
	allowed := 0
	if counts[p] > minCrashes {
		allowed = 1
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
		if rivals <= allowed {
			conclusive++
		}
	}
	return conclusive >= minCrashes
}

// hear takes notices of a sibling.
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

func (q *quarantine) publish() {
	if !maps.Equal(q.quarantinedUntil, q.published) {
		q.published = maps.Clone(q.quarantinedUntil)
	}
}

// notices returns the quarantines in force.
func (q *quarantine) quarantineNotices(now time.Time) []QuarantineNotice {
	var out []QuarantineNotice
	for p, until := range q.quarantinedUntil {
		out = append(out, QuarantineNotice{p, until.Sub(now)})
	}
	return out
}

// take returns the notices for siblings since the last call.
func (q *quarantine) takeNotices() Notices {
	out := q.pending
	q.pending = Notices{}
	return out
}

// tick forgets what is over.
func (q *quarantine) tick(now time.Time) {
	maps.DeleteFunc(q.brokenLegs, func(_ string, legs []brokenLeg) bool {
		return now.Sub(legs[len(legs)-1].at) > lossWindow
	})
	maps.DeleteFunc(q.crashes, func(_ crashKey, c *crash) bool { return now.Sub(c.at) > crashMemory })
	maps.DeleteFunc(q.quarantinedUntil, func(_ Fingerprint, until time.Time) bool { return !now.Before(until) })
	q.publish()
}
