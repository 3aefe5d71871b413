// Package targetshttp sends requests to targets over HTTP/1.1 and reads their status.
package targetshttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"dogwooddrift.org/drift/httpreply"
	"dogwooddrift.org/drift/targets"
)

// The paths of the HTTP interface of targets.
const (
	SearchPath = "/search"
	ChangePath = "/change"
	StatusPath = "/status"
)

// The headers of requests and replies.
const (
	HeaderRequestID    = "Drift-Request-Id"
	HeaderAttempt      = "Drift-Attempt"
	HeaderSnapshot     = "Drift-Snapshot"
	HeaderShard        = "Drift-Shard"
	HeaderTimeout      = "Drift-Timeout-Ms"
	HeaderOrganisation = "Drift-Organisation"
	// HeaderIdempotencyKey is not called Idempotency-Key, because net/http resends requests with that header when a
	// connection breaks.
	HeaderIdempotencyKey = "Drift-Idempotency-Key"
	HeaderIncarnation    = "Drift-Incarnation"
	HeaderState          = "Drift-State"
	HeaderLoad           = "Drift-Load"
	// HeaderRan is RanNo on a refusal of a request that the target did not run.
	HeaderRan = "Drift-Ran"
)

// RanNo is the value of HeaderRan that marks a request as not run.
const RanNo = "no"

// maxReplyBytes is the largest accepted body of a reply.
const maxReplyBytes = 4 << 20

// Reporter receives reports of legs. ReportLeg must not block.
type Reporter interface{ ReportLeg(targets.LegReport) }

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	client   *http.Client
	reporter Reporter
}

// New returns a client with the settings of the given HTTP client, with connections of its own unless that has a *Transport. It does not
// follow redirects.
func New(client *http.Client) *Client {
	withoutRedirects := *httpreply.Client(client)
	// Following a redirect would run a request a second time.
	withoutRedirects.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{client: &withoutRedirects}
}

// SetReporter sets the receiver of leg reports. It must be called before the client is used.
func (c *Client) SetReporter(r Reporter) { c.reporter = r }

// checkConnection records that a request was answered. For a cancelled one, it closes the idle connections to the
// target if TryReplaceConnection decides that they may be broken. The connection of the request itself is closed by its
// cancellation.
func (c *Client) checkConnection(t *targets.Target, started time.Time, o targets.Outcome) {
	switch o {
	case targets.Replied:
		t.Stats.RecordAnsweredSend(started)
	case targets.Cancelled:
		if transport, ok := c.client.Transport.(*Transport); ok && t.Stats.TryReplaceConnection(started, time.Now()) {
			transport.CloseIdle(t.Address)
		}
	}
}

// report sends control the reports that can change its state: failures, and replies of a target that is ramping up,
// that does not report itself warm, or whose incarnation differs from the view.
func (c *Client) report(t *targets.Target, r targets.LegReport) {
	routine := r.Outcome == targets.Replied && !t.Ramping && r.Incarnation == t.Incarnation && r.State == targets.StateWarm
	if c.reporter != nil && r.Outcome != targets.Cancelled && !routine {
		r.Target = t.ID
		c.reporter.ReportLeg(r)
	}
}

// Search holds the parameters of one leg.
type Search struct {
	RequestID    targets.RequestID
	Organisation string
	Leg          targets.Leg
	// Timeout is the time that the target may take.
	Timeout time.Duration
	Body    []byte
}

// Search sends one leg. It returns the headers of the reply, if one arrived. A returned error wraps one of the errors
// of package targets.
func (c *Client) Search(ctx context.Context, s Search) (targets.Reply, http.Header, error) {
	req, err := c.request(ctx, s.Leg.Target.Address, SearchPath, s.Body)
	if err != nil {
		return targets.Reply{}, nil, err
	}
	req.Header.Set(HeaderRequestID, string(s.RequestID))
	req.Header.Set(HeaderAttempt, strconv.Itoa(s.Leg.Attempt))
	req.Header.Set(HeaderSnapshot, strconv.FormatUint(uint64(s.Leg.Snapshot), 10))
	req.Header.Set(HeaderShard, string(s.Leg.Shard))
	req.Header.Set(HeaderTimeout, strconv.FormatInt(s.Timeout.Milliseconds(), 10))
	req.Header.Set(HeaderOrganisation, s.Organisation)
	header, body, err := c.do(traceHandshake(req, s.Leg.Target.Stats))
	if err != nil {
		return targets.Reply{}, header, err
	}
	reply, err := decodeReply(header, body)
	return reply, header, err
}

// traceHandshake records the duration of the TCP handshake if the request opens a connection.
func traceHandshake(req *http.Request, stats *targets.TargetStats) *http.Request {
	var start atomic.Pointer[time.Time] // the transport dials on other goroutines
	trace := &httptrace.ClientTrace{
		ConnectStart: func(string, string) { now := time.Now(); start.Store(&now) },
		ConnectDone: func(_, _ string, err error) {
			if err == nil {
				stats.RecordHandshake(time.Since(*start.Load()))
			}
		},
	}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

func decodeReply(h http.Header, body []byte) (targets.Reply, error) {
	attempt, err := strconv.Atoi(h.Get(HeaderAttempt))
	if err != nil {
		return targets.Reply{}, oops.In("target").Wrapf(targets.ErrFailed, "header %s: %v", HeaderAttempt, err)
	}
	snapshot, err := strconv.ParseUint(h.Get(HeaderSnapshot), 10, 64)
	if err != nil {
		return targets.Reply{}, oops.In("target").Wrapf(targets.ErrFailed, "header %s: %v", HeaderSnapshot, err)
	}
	return targets.Reply{
		RequestID: targets.RequestID(h.Get(HeaderRequestID)),
		Attempt:   attempt,
		Shard:     targets.Shard(h.Get(HeaderShard)),
		Snapshot:  targets.Snapshot(snapshot),
		Payload:   body,
	}, nil
}

// Change holds the parameters of a non-idempotent request.
type Change struct {
	RequestID      targets.RequestID
	Organisation   string
	IdempotencyKey string
	Target         *targets.Target
	Timeout        time.Duration
	Body           []byte
}

// Change sends a change once. An error that wraps targets.ErrNotSent or targets.ErrShed proves that the change did not
// run; with any other error it may have run.
func (c *Client) Change(ctx context.Context, ch Change) ([]byte, error) {
	req, err := c.request(ctx, ch.Target.Address, ChangePath, ch.Body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderRequestID, string(ch.RequestID))
	req.Header.Set(HeaderTimeout, strconv.FormatInt(ch.Timeout.Milliseconds(), 10))
	req.Header.Set(HeaderOrganisation, ch.Organisation)
	req.Header.Set(HeaderIdempotencyKey, ch.IdempotencyKey)
	start := time.Now()
	header, body, err := c.do(req)
	if got := header.Get(HeaderRequestID); err == nil && got != string(ch.RequestID) {
		err = oops.In("target").Wrapf(targets.ErrFailed, "the reply is for request %q", got)
	}
	report := targets.LegReport{
		Incarnation: header.Get(HeaderIncarnation), State: targets.State(header.Get(HeaderState)), Elapsed: time.Since(start),
	}
	switch {
	case err != nil && ctx.Err() != nil:
		report.Outcome = targets.Cancelled
	case err != nil:
		report.Outcome, report.Reason = targets.Failed, FailureReason(err)
	}
	c.report(ch.Target, report)
	c.checkConnection(ch.Target, start, report.Outcome)
	if err != nil {
		return nil, err
	}
	return body, nil
}

// Status reads the status that a target reports about itself.
func (c *Client) Status(ctx context.Context, address string) (targets.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatusPath, nil)
	if err != nil {
		return targets.Status{}, oops.In("target").Wrapf(targets.ErrNotSent, "build request: %v", err)
	}
	_, body, err := c.do(req)
	if err != nil {
		return targets.Status{}, err
	}
	var status targets.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return targets.Status{}, oops.In("target").Wrapf(targets.ErrFailed, "decode status: %v", err)
	}
	return status, nil
}

func (c *Client) request(ctx context.Context, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, oops.In("target").Wrapf(targets.ErrNotSent, "build request: %v", err)
	}
	return req, nil
}

// do sends the request and converts transport errors and HTTP status codes to the errors of package targets.
func (c *Client) do(req *http.Request) (http.Header, []byte, error) {
	// net/http writes to a connection on another goroutine, and does not document that this goroutine has ended when Do
	// returns. A request that got a connection therefore counts as sent. net/http moves a request to another connection
	// only if nothing was written to the first: a POST without an Idempotency-Key header is resent in no other case.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	resp, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if !sent.Load() {
			return nil, nil, oops.In("target").Wrapf(targets.ErrNotSent, "%v", err)
		}
		return nil, nil, exchangeError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxReplyBytes))
	if err != nil {
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			return resp.Header, nil, oops.In("target").Wrapf(targets.ErrFailed, "read reply: %v", err)
		}
		// The reply is incomplete or malformed, so none of its fields counts.
		return nil, nil, exchangeError(err)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return resp.Header, body, nil
	case resp.StatusCode == http.StatusConflict:
		return resp.Header, nil, oops.In("target").Wrap(targets.ErrSnapshotGone)
	case resp.Header.Get(HeaderRan) == RanNo:
		return resp.Header, nil, oops.In("target").Wrap(targets.ErrShed)
	default:
		return resp.Header, nil, oops.In("target").Wrapf(targets.ErrFailed, "status %d", resp.StatusCode)
	}
}

// exchangeError converts an error after which the request may have run and no reply counts.
func exchangeError(err error) error {
	cause := targets.ErrConnectionLost
	if errors.Is(err, httpreply.ErrMalformed) {
		cause = targets.ErrFailed // it was this client that closed the connection
	}
	return oops.In("target").Wrapf(cause, "%v", err)
}

// FailureReason returns the reason, as reported in answers, for an error of Search.
func FailureReason(err error) targets.Reason {
	switch {
	case errors.Is(err, targets.ErrShed):
		return targets.ReasonShed
	case errors.Is(err, targets.ErrSnapshotGone):
		return targets.ReasonSnapshotGone
	case errors.Is(err, targets.ErrNotSent):
		return targets.ReasonUnreachable
	case errors.Is(err, targets.ErrConnectionLost):
		return targets.ReasonConnectionLost
	case errors.Is(err, targets.ErrMismatched):
		return targets.ReasonMismatched
	default:
		return targets.ReasonFailed
	}
}
