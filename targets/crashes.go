package targets

import "time"

// CrashLog blames requests for crashes of targets. It belongs to the control goroutine.
type CrashLog struct{ q *quarantine }

// NewCrashLog returns an empty log.
func NewCrashLog() *CrashLog { return &CrashLog{newQuarantine()} }

// Broken notes a connection to a target that broke while a request was running.
func (c *CrashLog) Broken(target string, p Fingerprint, now time.Time) { c.q.broken(target, p, now) }

// Lost notes that an incarnation of a target ended or refuses connections.
func (c *CrashLog) Lost(target, incarnation string, now time.Time) {
	c.q.lost(target, incarnation, now)
}

// Hear takes notices of a sibling.
func (c *CrashLog) Hear(n Notices, now time.Time) { c.q.hear(n, now) }

// Refused returns the requests that are refused. The map is not changed later.
func (c *CrashLog) Refused() map[Fingerprint]time.Time { return c.q.published }

// Recent returns what siblings should know: the crashes and quarantines in force.
func (c *CrashLog) Recent(now time.Time) Notices {
	n := c.q.take()
	n.Quarantined = c.q.notices(now)
	return n
}

// Tick forgets what is over.
func (c *CrashLog) Tick(now time.Time) { c.q.tick(now) }
