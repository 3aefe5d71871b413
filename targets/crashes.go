package targets

import "time"

// CrashLog blames requests for crashes of targets. It belongs to the control goroutine.
type CrashLog struct{ q *quarantine }

// NewCrashLog returns an empty log.
func NewCrashLog() *CrashLog { return &CrashLog{newQuarantine()} }

// RecordBrokenConnection notes a connection to a target that broke while a request was running.
func (c *CrashLog) RecordBrokenConnection(target string, p Fingerprint, now time.Time) {
	c.q.recordBrokenConnection(target, p, now)
}

// RecordTargetLost notes that an incarnation of a target ended or refuses connections.
func (c *CrashLog) RecordTargetLost(target, incarnation string, now time.Time) {
	c.q.recordTargetLost(target, incarnation, now)
}

// ReceiveNotices takes notices of a sibling.
func (c *CrashLog) ReceiveNotices(n Notices, now time.Time) { c.q.receiveNotices(n, now) }

// Quarantined returns the requests that are refused. The map is not changed later.
func (c *CrashLog) Quarantined() map[Fingerprint]time.Time { return c.q.published }

// TakeNotices returns what siblings should know: the crashes and quarantines in force.
func (c *CrashLog) TakeNotices(now time.Time) Notices {
	n := c.q.takeNotices()
	n.Quarantined = c.q.quarantineNotices(now)
	return n
}

// Tick forgets what is over.
func (c *CrashLog) Tick(now time.Time) { c.q.tick(now) }
