package caller

import "time"

// Stop is the plan of an instance's planned stop. It is immutable.
//
// Invariant: a request that is accepted after NoticeEnds has its final answer before Ends.
type Stop struct {
	// NoticeEnds is when the load balancer has taken the instance out of service. Until then callers are still sent to it.
	NoticeEnds time.Time
	// Ends is when the requests that still run get their final answer.
	Ends time.Time
}

// Accepts reports whether a request is accepted at now whose final answer is due at the deadline. A request that may last
// beyond the end of the stop is better refused: its caller can send it to another instance at once, and if it is not
// idempotent, its outcome would be lost.
func (s *Stop) Accepts(deadline, now time.Time) bool {
	return now.Before(s.NoticeEnds) || now.Before(s.Ends) && !deadline.After(s.Ends)
}
