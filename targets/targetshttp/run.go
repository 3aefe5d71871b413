package targetshttp

import (
	"context"
	"time"

	"dogwooddrift.org/drift/targets"
)

// Request is what Run needs of one caller's query.
type Request struct {
	ID           targets.RequestID
	Organisation string
	Deadline     time.Time
	Body         []byte
	Fingerprint  targets.Fingerprint
	// Observer is told of each leg, unless it is nil.
	Observer Observer
}

// Observer learns how the legs of a query go, on the goroutine that calls Run.
type Observer interface {
	// Sent says that a leg leaves.
	Sent(leg targets.Leg, now time.Time)
	// Ended says that a leg ended, without a reason if it was replied to.
	Ended(attempt int, reason targets.Reason, now time.Time)
}

// Run drives a query to its answer: it sends the legs that the state machine asks for, feeds it replies and
// failures, and cancels what is no longer wanted. It returns early when ctx ends, with what was merged so far.
func (c *Client) Run(ctx context.Context, r Request, q *targets.Query, ready targets.Ready) *targets.Answer {
	ctx, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	messages := make(chan targets.Message)
	cancels := map[int]context.CancelFunc{}
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	for ready.Answer == nil {
		for _, leg := range ready.Cancel {
			cancels[leg.Attempt]()
		}
		for _, leg := range ready.Send {
			legCtx, cancel := context.WithCancel(ctx)
			cancels[leg.Attempt] = cancel
			if r.Observer != nil {
				r.Observer.Sent(leg, time.Now())
			}
			go c.runLeg(legCtx, r, leg, messages)
		}
		timer.Reset(time.Until(ready.Wake))
		select {
		case m := <-messages:
			observe(r.Observer, m)
			ready = q.Step(m, time.Now())
		case <-timer.C:
			ready = q.Step(targets.Timeout{}, time.Now())
		case <-ctx.Done():
			ready = q.Step(targets.Timeout{}, r.Deadline)
		}
	}
	return ready.Answer
}

func observe(o Observer, m targets.Message) {
	if o == nil {
		return
	}
	switch m := m.(type) {
	case targets.Reply:
		o.Ended(m.Attempt, "", time.Now())
	case targets.Failure:
		o.Ended(m.Attempt, m.Reason, time.Now())
	}
}

// runLeg sends one leg and delivers its outcome unless the query is over.
func (c *Client) runLeg(ctx context.Context, r Request, leg targets.Leg, messages chan<- targets.Message) {
	start := time.Now()
	reply, header, err := c.Search(ctx, Search{
		RequestID:    r.ID,
		Organisation: r.Organisation,
		Leg:          leg,
		Timeout:      r.Deadline.Sub(start) - leg.Target.Stats.RoundTripTime(),
		Body:         r.Body,
	})
	if err == nil && !leg.Matches(r.ID, reply) {
		err = targets.ErrMismatched
	}
	var m targets.Message = reply
	outcome := targets.Replied
	switch {
	case err != nil && ctx.Err() != nil:
		outcome = targets.Cancelled
	case err != nil:
		outcome = targets.Failed
		m = targets.Failure{Attempt: leg.Attempt, Reason: FailureReason(err)}
	}
	elapsed := time.Since(start)
	c.checkSilence(leg.Target, start, outcome) // before Finish raises the latency that it compares with
	leg.Finish(elapsed, outcome)
	c.report(leg.Target, targets.LegReport{
		Fingerprint: r.Fingerprint, Incarnation: header.Get(HeaderIncarnation), State: targets.State(header.Get(HeaderState)),
		Outcome: outcome, Reason: FailureReason(err), Elapsed: elapsed,
	})
	if outcome == targets.Cancelled {
		return
	}
	select {
	case messages <- m:
	case <-ctx.Done():
	}
}
