// Package callerhttp serves callers over HTTP. The interface is designed in goa; this package converts its
// types and turns refusals into responses.
package callerhttp

//go:generate goa gen dogwooddrift.org/drift/caller/callerhttp/design

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	goahttp "goa.design/goa/v3/http"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/caller/callerhttp/gen/http/query_tier/server"
	querytier "dogwooddrift.org/drift/caller/callerhttp/gen/query_tier"
	"dogwooddrift.org/drift/traffic"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 1 << 20

// QueryTier is what the server needs of the request path.
type QueryTier interface {
	Query(ctx context.Context, q traffic.Query) (*traffic.Answer, *caller.Refusal)
	Change(ctx context.Context, c traffic.Change) (*traffic.ChangeResult, *caller.Refusal)
	Ready() bool
	// Leaving reports that callers should open their next connection elsewhere.
	Leaving() bool
}

// Option changes how NewHandler builds a handler.
type Option func(*formatter)

// OnMalformed has refused told of requests that cannot be decoded, which the tier does not see.
func OnMalformed(refused func(id string, r *caller.Refusal)) Option {
	return func(f *formatter) { f.malformed = refused }
}

// NewHandler returns the HTTP handler for callers.
func NewHandler(tier QueryTier, options ...Option) http.Handler {
	f := &formatter{malformed: func(string, *caller.Refusal) {}}
	for _, o := range options {
		o(f)
	}
	mux := goahttp.NewMuxer()
	endpoints := querytier.NewEndpoints(&service{tier: tier})
	server.Mount(mux, server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, f.format))
	return closeOnLeave(identify(f.limitBody(mux)), tier.Leaving)
}

// HeaderRequestID names a request in its response, also if it was refused. Logs use the same name.
const HeaderRequestID = "Drift-Request-Id"

type requestIDKey struct{}

// identify gives each request an ID.
func identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(HeaderRequestID, id)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

// requestID returns the ID that identify gave, empty if there is none.
func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// limitBody refuses a request that announces too large a body, and cuts off one that turns out too large.
func (f *formatter) limitBody(next http.Handler) http.Handler {
	limited := http.MaxBytesHandler(next, maxBodyBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > maxBodyBytes {
			f.writeTooLarge(w, r)
			return
		}
		limited.ServeHTTP(w, r)
	})
}

// closeOnLeave asks callers to close their connection after each response while leaving. Closing an idle
// connection from this side instead could cut off a request that is on its way.
func closeOnLeave(next http.Handler, leaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, leaving: leaving}, r)
	})
}

// closingWriter decides when the response starts, since the stop may begin while the request runs.
type closingWriter struct {
	http.ResponseWriter
	leaving func() bool
}

// WriteHeader adds the Connection header while leaving.
func (w *closingWriter) WriteHeader(status int) {
	if w.leaving() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

type service struct{ tier QueryTier }

func (s *service) Query(ctx context.Context, p *querytier.QueryPayload) (*querytier.QueryAnswer, error) {
	deadline := time.Now().Add(time.Duration(p.TimeoutMs) * time.Millisecond)
	answer, refusal := s.tier.Query(ctx, traffic.Query{
		ID: requestID(ctx), Service: p.Service, Key: bearer(p.Key), Deadline: deadline, Text: p.Query,
	})
	if refusal != nil {
		return nil, refusalBody(refusal)
	}
	return encodeAnswer(answer), nil
}

func (s *service) Change(ctx context.Context, p *querytier.ChangePayload) (*querytier.ChangeOutcome, error) {
	deadline := time.Now().Add(time.Duration(p.TimeoutMs) * time.Millisecond)
	outcome, refusal := s.tier.Change(ctx, traffic.Change{
		ID: requestID(ctx), Service: p.Service, Key: bearer(p.Key), Deadline: deadline, IdempotencyKey: p.IdempotencyKey, Text: p.Change,
	})
	if refusal != nil {
		return nil, refusalBody(refusal)
	}
	return &querytier.ChangeOutcome{RequestID: string(outcome.RequestID), Outcome: string(outcome.Reply)}, nil
}

func (s *service) Ready(context.Context) error {
	if !s.tier.Ready() {
		return querytier.MakeUnready(errors.New("the instance takes no new work"))
	}
	return nil
}

func bearer(header *string) string {
	if header == nil {
		return ""
	}
	return strings.TrimSpace(strings.TrimPrefix(*header, "Bearer "))
}

func encodeAnswer(a *traffic.Answer) *querytier.QueryAnswer {
	out := &querytier.QueryAnswer{
		RequestID: string(a.RequestID),
		Snapshot:  uint64(a.Snapshot),
		Coverage: &querytier.Coverage{
			Answered: len(a.Results),
			Total:    a.ShardCount(),
			Missing:  make([]*querytier.MissingShard, 0, len(a.Missing)),
		},
		Results: make([]*querytier.ShardResult, 0, len(a.Results)),
	}
	for _, m := range a.Missing {
		out.Coverage.Missing = append(out.Coverage.Missing, &querytier.MissingShard{Shard: string(m.Shard), Reason: string(m.Reason)})
	}
	for _, r := range a.Results {
		out.Results = append(out.Results, &querytier.ShardResult{Shard: string(r.Shard), Result: string(r.Payload)})
	}
	return out
}
