// Package requestlog writes what processes decide: each request whole or not at all, within limits, and the changes of
// what an instance believes.
package requestlog

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dogwooddrift.org/drift/targets"
	"dogwooddrift.org/drift/traffic"
)

// Limits bounds the requests that are logged.
type Limits struct {
	// FailuresPerSecond and SuccessesPerSecond are how many a second are written; the rest is counted.
	FailuresPerSecond, SuccessesPerSecond float64
}

// Log writes requests and beliefs. It is safe for concurrent use.
type Log struct {
	out io.Writer
	log zerolog.Logger

	mu        sync.Mutex
	failures  allowance
	successes allowance
	leftOut   int64
}

// New returns a log to out, which must not block. log adds the fields that all lines have.
func New(out io.Writer, log zerolog.Logger, l Limits) *Log {
	return &Log{
		out: out, log: log, failures: allowance{rate: l.FailuresPerSecond, level: l.FailuresPerSecond},
		successes: allowance{rate: l.SuccessesPerSecond, level: l.SuccessesPerSecond},
	}
}

// Record logs a request whole, or leaves it out and counts that.
func (r *Log) Record(x *traffic.Record) {
	r.mu.Lock()
	a := &r.failures
	if x.Outcome == traffic.OutcomeOK && x.Covered == x.Parts {
		a = &r.successes
	}
	logged := a.take(time.Now())
	if !logged {
		r.leftOut++
	}
	r.mu.Unlock()
	if logged {
		r.write(x)
	}
}

// allowance is a token bucket that holds one second's worth.
type allowance struct {
	rate, level float64
	at          time.Time
}

func (a *allowance) take(now time.Time) bool {
	if !a.at.IsZero() {
		a.level = min(a.rate, a.level+now.Sub(a.at).Seconds()*a.rate)
	}
	a.at = now
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}

// Omitted returns how many requests were not logged.
func (r *Log) Omitted() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leftOut
}

// write logs a request: a line for its admission, one for each send that did not simply succeed, and one for the
// outcome. All lines are one write, so that none is lost alone.
func (r *Log) write(x *traffic.Record) {
	lines := &bytes.Buffer{}
	log := r.log.Output(lines).With().Str("request", x.ID).Logger()
	if x.Route != "" {
		log.Info().Str("route", x.Route).Str("organisation", x.Organisation).Uint64("routing_version", uint64(x.ConfigVersion)).
			Uint64("store_revision", uint64(x.PlatformRevision)).Int64("routing_age_ms", x.RoutingAge.Milliseconds()).
			Int("parts", x.Parts).Msg("request: matched")
	}
	for i := range x.Attempts {
		l := &x.Attempts[i]
		if l.Outcome == targets.LegReplied.String() && !l.Hedge && x.Parts > 1 {
			continue
		}
		log.Info().Int("send", l.Attempt).Str("service", l.Service).Str("target", l.Target).Bool("hedge", l.Hedge).
			Int64("at_ms", l.SentAfter.Milliseconds()).Int64("ended_ms", l.EndedAfter.Milliseconds()).
			Float64("usual_ms", l.ExpectedLatency.Seconds()*1000).Bool("avoided", l.Avoided).Str("outcome", l.Outcome).
			Str("reason", l.Reason).Msg("request: sent")
	}
	e := log.Info()
	if x.Outcome != traffic.OutcomeOK {
		e = log.Warn()
	}
	e.Str("outcome", x.Outcome).Str("reason", x.Message).Int("status", x.Status).Int("parts", x.Parts).Int("covered", x.Covered).
		Int("sends", len(x.Attempts)).Int64("took_ms", x.Duration.Milliseconds()).Int64("retry_after_ms", x.RetryAfter.Milliseconds()).
		Msg("request: ended")
	// The line writer never fails.
	_, _ = r.out.Write(lines.Bytes())
}

// LogStateChange logs a change of what this instance believes of a subject, and where it came from.
func (r *Log) LogStateChange(subject, name, before, after, source string) {
	r.log.Info().Str("subject", subject).Str("name", name).Str("old", before).Str("new", after).Str("source", source).
		Msg("belief: changed")
}
