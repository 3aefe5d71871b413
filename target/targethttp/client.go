// Package targethttp sends requests to targets over HTTP/1.1 and reads their status.
package targethttp

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

	"dogwooddrift.org/drift/target"
)

// The paths that targets serve.
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
	// HeaderIdempotencyKey is not called Idempotency-Key: net/http resends requests that carry that header
	// when a connection breaks.
	HeaderIdempotencyKey = "Drift-Idempotency-Key"
	HeaderIncarnation    = "Drift-Incarnation"
	HeaderState          = "Drift-State"
	HeaderLoad           = "Drift-Load"
	// HeaderRan is "no" on a refusal of a request that the target did not run.
	HeaderRan = "Drift-Ran"
)

// RanNo is the value of HeaderRan that marks a request as not run.
const RanNo = "no"

// maxReplyBytes bounds one reply of a target.
const maxReplyBytes = 4 << 20

// Client talks to targets. It is safe for concurrent use.
type Client struct{ client *http.Client }

// New returns a client that sends through the given HTTP client.
func New(client *http.Client) *Client {
	direct := *client
	// A redirect would run a request a second time.
	direct.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{client: &direct}
}

// Search is one leg as sent to a target.
type Search struct {
	RequestID    target.RequestID
	Organisation string
	Leg          target.Leg
	// Timeout is the time that the target has.
	Timeout time.Duration
	Body    []byte
}

// Search sends one leg. Its error wraps one of the errors of package target.
func (c *Client) Search(ctx context.Context, s Search) (target.Reply, error) {
	req, err := c.request(ctx, s.Leg.Target.Address, SearchPath, s.Body)
	if err != nil {
		return target.Reply{}, err
	}
	req.Header.Set(HeaderRequestID, string(s.RequestID))
	req.Header.Set(HeaderAttempt, strconv.Itoa(s.Leg.Attempt))
	req.Header.Set(HeaderSnapshot, strconv.FormatUint(uint64(s.Leg.Snapshot), 10))
	req.Header.Set(HeaderShard, string(s.Leg.Shard))
	req.Header.Set(HeaderTimeout, strconv.FormatInt(s.Timeout.Milliseconds(), 10))
	req.Header.Set(HeaderOrganisation, s.Organisation)
	header, body, err := c.do(req)
	if err != nil {
		return target.Reply{}, err
	}
	return decodeReply(header, body)
}

func decodeReply(h http.Header, body []byte) (target.Reply, error) {
	attempt, err := strconv.Atoi(h.Get(HeaderAttempt))
	if err != nil {
		return target.Reply{}, oops.In("target").Wrapf(target.ErrFailed, "header %s: %v", HeaderAttempt, err)
	}
	snapshot, err := strconv.ParseUint(h.Get(HeaderSnapshot), 10, 64)
	if err != nil {
		return target.Reply{}, oops.In("target").Wrapf(target.ErrFailed, "header %s: %v", HeaderSnapshot, err)
	}
	return target.Reply{
		RequestID: target.RequestID(h.Get(HeaderRequestID)),
		Attempt:   attempt,
		Shard:     target.Shard(h.Get(HeaderShard)),
		Snapshot:  target.Snapshot(snapshot),
		Payload:   body,
	}, nil
}

// Change is a non-idempotent request as sent to a target.
type Change struct {
	RequestID      target.RequestID
	Organisation   string
	IdempotencyKey string
	Address        string
	Timeout        time.Duration
	Body           []byte
}

// Change sends a change once. An error that wraps target.ErrNotSent or target.ErrShed means that it did not
// run; any other means that it may have run.
func (c *Client) Change(ctx context.Context, ch Change) ([]byte, error) {
	req, err := c.request(ctx, ch.Address, ChangePath, ch.Body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderRequestID, string(ch.RequestID))
	req.Header.Set(HeaderTimeout, strconv.FormatInt(ch.Timeout.Milliseconds(), 10))
	req.Header.Set(HeaderOrganisation, ch.Organisation)
	req.Header.Set(HeaderIdempotencyKey, ch.IdempotencyKey)
	header, body, err := c.do(req)
	if err != nil {
		return nil, err
	}
	if got := header.Get(HeaderRequestID); got != string(ch.RequestID) {
		return nil, oops.In("target").Wrapf(target.ErrFailed, "the reply is for request %q", got)
	}
	return body, nil
}

// Status reads a target's own report.
func (c *Client) Status(ctx context.Context, address string) (target.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatusPath, nil)
	if err != nil {
		return target.Status{}, oops.In("target").Wrapf(target.ErrNotSent, "build request: %v", err)
	}
	_, body, err := c.do(req)
	if err != nil {
		return target.Status{}, err
	}
	var status target.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return target.Status{}, oops.In("target").Wrapf(target.ErrFailed, "decode status: %v", err)
	}
	return status, nil
}

func (c *Client) request(ctx context.Context, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, oops.In("target").Wrapf(target.ErrNotSent, "build request: %v", err)
	}
	return req, nil
}

// do sends the request and turns transport errors and statuses into the errors of package target.
func (c *Client) do(req *http.Request) (http.Header, []byte, error) {
	// Once the request has a connection, another goroutine of net/http writes to it. That it ends before Do returns
	// is not documented, so a request with a connection counts as sent. net/http takes another connection only if
	// nothing was written to the first: it resends a POST without an Idempotency-Key header in no other case.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	resp, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if !sent.Load() {
			return nil, nil, oops.In("target").Wrapf(target.ErrNotSent, "%v", err)
		}
		return nil, nil, oops.In("target").Wrapf(target.ErrFailed, "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxReplyBytes))
	if err != nil {
		return nil, nil, oops.In("target").Wrapf(target.ErrFailed, "read reply: %v", err)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return resp.Header, body, nil
	case resp.StatusCode == http.StatusConflict:
		return nil, nil, oops.In("target").Wrap(target.ErrSnapshotGone)
	case resp.Header.Get(HeaderRan) == RanNo:
		return nil, nil, oops.In("target").Wrap(target.ErrShed)
	default:
		return nil, nil, oops.In("target").Wrapf(target.ErrFailed, "status %d", resp.StatusCode)
	}
}

// FailureReason maps an error of Search to the reason that an answer reports.
func FailureReason(err error) target.Reason {
	switch {
	case errors.Is(err, target.ErrShed):
		return target.ReasonShed
	case errors.Is(err, target.ErrSnapshotGone):
		return target.ReasonSnapshotGone
	default:
		return target.ReasonFailed
	}
}
