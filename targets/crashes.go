package targets

import "time"

// CrashLog finds the requests that crash targets. It is not safe for concurrent use; the control goroutine owns it.
type CrashLog struct{ q *quarantine }

// NewCrashLog returns an empty log.
func NewCrashLog() *CrashLog { return &CrashLog{newQuarantine()} }

// RecordBrokenConnection records that a connection to a target broke while a request was running on it.
func (c *CrashLog) RecordBrokenConnection(target string, p Fingerprint, now time.Time) {
	c.q.recordBrokenConnection(target, p, now)
}

// RecordTargetLost records that an incarnation of a target ended or refuses connections.
func (c *CrashLog) RecordTargetLost(target, incarnation string, now time.Time) {
	c.q.recordTargetLost(target, incarnation, now)
}

// ReceiveNotices records notices from a sibling.
func (c *CrashLog) ReceiveNotices(n Notices, now time.Time) { c.q.receiveNotices(n, now) }

// Quarantined returns the fingerprints of requests that are refused, with the end of each quarantine. The map is never
// modified.
func (c *CrashLog) Quarantined() map[Fingerprint]time.Time { return c.q.published }

// TakeNotices returns the notices for siblings: the crashes since the previous call and all quarantines in force.
func (c *CrashLog) TakeNotices(now time.Time) Notices {
	n := c.q.takeNotices()
	n.Quarantined = c.q.quarantineNotices(now)
	return n
}

// Tick removes expired entries.
func (c *CrashLog) Tick(now time.Time) { c.q.tick(now) }
