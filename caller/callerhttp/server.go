// Package callerhttp serves callers over HTTP. The interface is described in a goa design; this package converts between
// the generated types and those of package traffic, and refusals to HTTP responses.
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

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// QueryTier executes the requests that the server decodes. traffic.QueryTier implements it.
type QueryTier interface {
	Query(ctx context.Context, q traffic.Query) (*traffic.Answer, *caller.Refusal)
	Change(ctx context.Context, c traffic.Change) (*traffic.ChangeResult, *caller.Refusal)
	Ready() bool
	// Leaving reports whether callers should open their next connection to another instance.
	Leaving() bool
}

// Option configures the handler that NewHandler returns.
type Option func(*errorFormatter)

// OnMalformed sets the function that is called for each request that is refused before it reaches the tier because it
// cannot be decoded or is too large. id is the ID of the request.
func OnMalformed(onMalformed func(id string, r *caller.Refusal)) Option {
	return func(f *errorFormatter) { f.onMalformed = onMalformed }
}

// NewHandler returns the HTTP handler for callers.
func NewHandler(tier QueryTier, options ...Option) http.Handler {
	f := &errorFormatter{onMalformed: func(string, *caller.Refusal) {}}
	for _, o := range options {
		o(f)
	}
	mux := goahttp.NewMuxer()
	endpoints := querytier.NewEndpoints(&service{tier: tier})
	server.Mount(mux, server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, f.format))
	return closeWhileLeaving(assignRequestID(f.limitBody(mux)), tier.Leaving)
}

// HeaderRequestID is the response header with the ID of the request, which is also set if the request is refused. Logs
// contain the same ID.
const HeaderRequestID = "Drift-Request-Id"

type requestIDKey struct{}

// assignRequestID generates an ID for each request.
func assignRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(HeaderRequestID, id)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

// requestID returns the ID that assignRequestID generated, "" if there is none.
func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// limitBody refuses a request whose Content-Length exceeds maxBodyBytes and limits the body of other requests to that
// size.
func (f *errorFormatter) limitBody(next http.Handler) http.Handler {
	limited := http.MaxBytesHandler(next, maxBodyBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > maxBodyBytes {
			f.writeTooLarge(w, r)
			return
		}
		limited.ServeHTTP(w, r)
	})
}

// closeWhileLeaving requests that callers close their connection after each response while the instance is leaving. If
// the server closed idle connections instead, requests in transit could be lost.
func closeWhileLeaving(next http.Handler, leaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, leaving: leaving}, r)
	})
}

// closingWriter evaluates leaving when the response starts, since the instance may begin to leave while the request
// runs.
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

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// service implements the service of the goa design.
type service struct{ tier QueryTier }

func (s *service) Query(ctx context.Context, p *querytier.QueryPayload) (*querytier.QueryAnswer, error) {
	deadline := time.Now().Add(time.Duration(p.TimeoutMs) * time.Millisecond)
	answer, refusal := s.tier.Query(ctx, traffic.Query{
		ID: requestID(ctx), Service: p.Service, Key: bearerToken(p.Key), Deadline: deadline, Text: p.Query,
	})
	if refusal != nil {
		return nil, refusalBody(refusal)
	}
	return encodeAnswer(answer), nil
}

func (s *service) Change(ctx context.Context, p *querytier.ChangePayload) (*querytier.ChangeOutcome, error) {
	deadline := time.Now().Add(time.Duration(p.TimeoutMs) * time.Millisecond)
	outcome, refusal := s.tier.Change(ctx, traffic.Change{
		ID: requestID(ctx), Service: p.Service, Key: bearerToken(p.Key), Deadline: deadline, IdempotencyKey: p.IdempotencyKey, Text: p.Change,
	})
	if refusal != nil {
		return nil, refusalBody(refusal)
	}
	return &querytier.ChangeOutcome{RequestID: string(outcome.RequestID), Outcome: string(outcome.Reply)}, nil
}

func (s *service) Ready(context.Context) error {
	if !s.tier.Ready() {
		return querytier.MakeUnready(errors.New("the instance does not accept new requests"))
	}
	return nil
}

// bearerToken returns the token in an Authorization header, "" if there is no header.
func bearerToken(header *string) string {
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
