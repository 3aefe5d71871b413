package sibling

import (
	"sync"
	"time"
)

const (
	// transitTolerance is the delay of a message beyond the shortest one of its sender that is taken for ordinary.
	transitTolerance = 20 * time.Millisecond
	// Two messages in a row whose offsets are equal within rebaseTolerance although they arrived at least rebaseGap apart show
	// that the clock of one side stood still, as in a suspended machine: messages that were held up arrive together.
	rebaseTolerance = 50 * time.Millisecond
	rebaseGap       = 200 * time.Millisecond
	// maxSenders bounds the senders that are remembered.
	maxSenders = 4096
)

// Transit estimates how long messages of siblings were held up on their way, for example by a network partition: the time that
// is left for a request counts from its sending. It compares the monotonic clocks of sender and receiver, which run at the same
// speed and start at different times, and needs no agreement on the time of day. It is safe for concurrent use.
type Transit struct {
	mu      sync.Mutex
	senders map[string]transitOffset
}

// transitOffset is the difference between the receiver's clock at the arrival and the sender's at the sending of messages.
type transitOffset struct {
	least, last time.Duration
	lastArrival time.Duration
}

// NewTransit returns an estimator that knows no sender.
func NewTransit() *Transit { return &Transit{senders: map[string]transitOffset{}} }

// Delay returns how much longer a message was on its way than the fastest message of its sender, 0 if that is ordinary or
// unknown. sender identifies the process of the sender; sentAt is its monotonic clock and arrivedAt the receiver's.
func (t *Transit) Delay(sender string, sentAt, arrivedAt time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	offset := arrivedAt - sentAt
	x, known := t.senders[sender]
	if !known {
		if len(t.senders) >= maxSenders {
			clear(t.senders)
		}
		t.senders[sender] = transitOffset{least: offset, last: offset, lastArrival: arrivedAt}
		return 0
	}
	steady := max(offset-x.last, x.last-offset) <= rebaseTolerance && arrivedAt-x.lastArrival >= rebaseGap
	if offset < x.least || steady && offset > x.least+transitTolerance {
		x.least = offset
	}
	x.last, x.lastArrival = offset, arrivedAt
	t.senders[sender] = x
	if delay := offset - x.least; delay > transitTolerance {
		return delay
	}
	return 0
}
