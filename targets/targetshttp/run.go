package targetshttp

import (
	"context"
	"time"

	"dogwooddrift.org/drift/targets"
)

// Request holds the parameters that are common to the legs of one query.
type Request struct {
	ID           targets.RequestID
	Organisation string
	Deadline     time.Time
	Body         []byte
	Fingerprint  targets.Fingerprint
	// Observer receives the start and end of each leg. It may be nil.
	Observer Observer
}

// Observer is notified of the legs of a query. Its methods are called on the goroutine that calls Run.
type Observer interface {
	// Sent is called when a leg is started.
	Sent(leg targets.Leg, now time.Time)
	// Ended is called when a leg ends. The reason is empty if it was replied to.
	Ended(attempt int, reason targets.Reason, now time.Time)
}

// Run executes a query: it sends the legs that the state machine returns, passes it replies and failures, and cancels
// legs that are no longer needed. If ctx ends, it returns early with the results merged so far.
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

// runLeg sends one leg and delivers its outcome, unless the leg is cancelled.
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
	c.checkConnection(leg.Target, start, outcome) // before Finish raises the latency that it compares with
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
