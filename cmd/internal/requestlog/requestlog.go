// Package requestlog logs requests and changes of an instance's state. Requests are rate limited, and each is logged
// either with all of its lines or not at all.
package requestlog

import (
	"bytes"
	"io"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dogwooddrift.org/drift/targets"
	"dogwooddrift.org/drift/traffic"
)

// Limits bounds the rate of logged requests.
type Limits struct {
	// FailuresPerSecond bounds the failed and partial requests, SuccessesPerSecond the complete ones. Requests above the
	// bounds are counted as omitted.
	FailuresPerSecond, SuccessesPerSecond float64
}

// Log logs requests and state changes. It is safe for concurrent use.
type Log struct {
	out io.Writer
	log zerolog.Logger

	mu        sync.Mutex
	failures  tokenBucket
	successes tokenBucket
	omitted   int64
}

// New returns a log that writes requests to out, which must not block. log supplies the fields common to all lines and
// writes the state changes.
func New(out io.Writer, log zerolog.Logger, l Limits) *Log {
	return &Log{
		out: out, log: log, failures: tokenBucket{rate: l.FailuresPerSecond, tokens: l.FailuresPerSecond},
		successes: tokenBucket{rate: l.SuccessesPerSecond, tokens: l.SuccessesPerSecond},
	}
}

// Record logs a request, or counts it as omitted if the limit is reached.
func (r *Log) Record(x *traffic.Record) {
	r.mu.Lock()
	bucket := &r.failures
	if x.Outcome == traffic.OutcomeOK && x.Covered == x.Parts {
		bucket = &r.successes
	}
	logged := bucket.take(time.Now())
	if !logged {
		r.omitted++
	}
	r.mu.Unlock()
	if logged {
		r.write(x)
	}
}

// tokenBucket is a token bucket whose capacity is the tokens of one second. rate is in tokens per second.
type tokenBucket struct {
	rate, tokens float64
	refilledAt   time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Omitted returns the number of requests that were not logged because a limit was reached.
func (r *Log) Omitted() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.omitted
}

// write logs a request: a line for the matched route, a line for each send, a line for each owner that did not gather its group,
// and a line for the outcome. The sends of a request with several parts are skipped if they were replied to and are not hedges.
// All lines are written in one call, so that they are kept or dropped together.
func (r *Log) write(x *traffic.Record) {
	lines := &bytes.Buffer{}
	log := r.log.Output(lines).With().Str("request", x.ID).Logger()
	if x.Route != "" {
		e := log.Info().Str("route", x.Route).Str("organisation", x.Organisation).Uint64("routing_version", uint64(x.ConfigVersion)).
			Uint64("store_revision", uint64(x.PlatformRevision)).Int64("routing_age_ms", x.RoutingAge.Milliseconds()).
			Int("parts", x.Parts)
		addDecision(e, x)
		e.Msg("request: matched")
	}
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if a.Outcome == targets.LegReplied.String() && !a.Hedge && x.Parts > 1 {
			continue
		}
		log.Info().Int("send", a.Attempt).Str("service", a.Service).Str("target", a.Target).Bool("hedge", a.Hedge).
			Int64("at_ms", a.SentAfter.Milliseconds()).Int64("ended_ms", a.EndedAfter.Milliseconds()).
			Float64("usual_ms", a.ExpectedLatency.Seconds()*1000).Bool("avoided", a.Avoided).Str("outcome", a.Outcome).
			Str("reason", a.Reason).Msg("request: sent")
	}
	for _, c := range x.OwnerChanges {
		log.Info().Str("group", strconv.Itoa(c.Group)).Str("owner", c.Owner).Str("reason", c.Cause).Str("next", c.Next).
			Msg("request: owner replaced")
	}
	e := log.Info()
	if x.Outcome != traffic.OutcomeOK {
		e = log.Warn()
	}
	e.Str("outcome", x.Outcome).Str("reason", x.Message).Int("status", x.Status).Int("parts", x.Parts).Int("covered", x.Covered).
		Int("sends", len(x.Attempts)).Int64("took_ms", x.Duration.Milliseconds()).Int64("retry_after_ms", x.RetryAfter.Milliseconds())
	if x.PlaceWait > 0 {
		e.Float64("place_wait_ms", milliseconds(x.PlaceWait))
	}
	if x.Wait.Cause != "" {
		e.Str("waited_for", waitText(&x.Wait)).Float64("waited_ms", milliseconds(x.Wait.Time))
	}
	if x.Wait.OpenCount > 0 {
		e.Int("open", x.Wait.OpenCount).Str("open_first", strings.Join(x.Wait.Open, ", "))
	}
	e.Msg("request: ended")
	// linelog.Writer never returns an error.
	_, _ = r.out.Write(lines.Bytes())
}

// addDecision adds what the request's admission was decided on.
func addDecision(e *zerolog.Event, x *traffic.Record) {
	if x.Objective > 0 {
		e.Int64("objective_ms", x.Objective.Milliseconds()).Int64("planned_ms", x.Planned.Milliseconds())
	}
	if x.Urgency.Ranked() {
		e.Str("rank", strconv.Itoa(x.Urgency.Rank)+" of "+strconv.Itoa(x.Urgency.Levels))
	}
	a := x.Admission
	if a == nil {
		return
	}
	decision := admitted
	switch {
	case a.Reason != "":
		decision = string(a.Reason)
	case x.Outcome == traffic.OutcomeDeclined:
		decision = x.Outcome
	}
	e.Str("admission", decision).Float64("expected_ms", milliseconds(a.Expected)).Int64("time_left_ms", a.TimeLeft.Milliseconds()).
		Float64("send_delay_ms", milliseconds(a.SendDelay))
	if a.Cut > 0 {
		e.Float64("cut", math.Round(a.Cut*1000)/1000)
	}
}

// admitted is the decision about a request that may run.
const admitted = "admitted"

// waitText names what a request waited for.
func waitText(w *traffic.Wait) string {
	switch w.Cause {
	case traffic.WaitSend:
		return w.Service + " at " + w.Target
	case traffic.WaitGroup:
		return "group " + strconv.Itoa(w.Group) + " from " + w.Target
	}
	return string(w.Cause)
}

// milliseconds returns a duration in milliseconds with one decimal.
func milliseconds(d time.Duration) float64 { return math.Round(d.Seconds()*1e4) / 10 }

// LogStateChange logs that the state of a subject, such as a target, changed in this instance's view. service is the service
// of a target, empty for other subjects. source is what the change is based on.
func (r *Log) LogStateChange(subject, name, service, before, after, source string) {
	e := r.log.Info().Str("subject", subject).Str("name", name)
	if service != "" {
		e.Str("service", service)
	}
	e.Str("old", before).Str("new", after).Str("source", source).Msg(stateChanged)
}

// LogStateChanges logs that the states of several subjects of the same kind changed within held. Each group describes some of
// the changes, others is the number of those that no group describes.
func (r *Log) LogStateChanges(subject string, count int, held time.Duration, groups []string, others int) {
	r.log.Info().Str("subject", subject).Int("changes", count).Int64("held_ms", held.Milliseconds()).Strs("groups", groups).
		Int("others", others).Msg(stateChanged)
}

// stateChanged is the message of a change of state.
const stateChanged = "belief: changed"
