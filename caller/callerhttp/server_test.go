package callerhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/traffic"
)

type refusingTier struct{ refusal *caller.Refusal }

func (r refusingTier) Query(context.Context, traffic.Query) (*traffic.Answer, *caller.Refusal) {
	return nil, r.refusal
}

func (r refusingTier) Change(context.Context, traffic.Change) (*traffic.ChangeResult, *caller.Refusal) {
	return nil, r.refusal
}

func (r refusingTier) Ready() bool { return false }

func (r refusingTier) Leaving() bool { return false }

func post(handler http.Handler, body string) (int, http.Header, map[string]any) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/services/s/query", strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	handler.ServeHTTP(w, r)
	var decoded map[string]any
	_ = json.Unmarshal(w.Body.Bytes(), &decoded)
	return w.Code, w.Header(), decoded
}

// Guards against refusals that lose their code, or that state "not run" although the request may have run. The formatter
// for goa's own errors also receives refusals and once replaced every code by bad_request.
func TestRefusalReachesCaller(t *testing.T) {
	for code, status := range map[caller.Code]int{
		caller.CodeRateLimited:    http.StatusTooManyRequests,
		caller.CodeOutcomeUnknown: http.StatusInternalServerError,
		caller.CodeNoTarget:       http.StatusServiceUnavailable,
	} {
		refusal := &caller.Refusal{Code: code, Ran: caller.RanUnknown, Message: "m", RetryAfter: 1500 * time.Millisecond}
		got, header, body := post(NewHandler(refusingTier{refusal}), `{"query":"q"}`)
		if got != status || header.Get("Retry-After") != "2" {
			t.Errorf("%s: status %d, Retry-After %q, want %d and 2", code, got, header.Get("Retry-After"), status)
		}
		if body["code"] != string(code) || body["ran"] != "unknown" || body["retry_after_ms"] != 1500.0 {
			t.Errorf("%s: body is %v", code, body)
		}
	}
}

// Guards against refusal codes without an error name, which determines the HTTP status.
func TestEveryCodeHasAGroup(t *testing.T) {
	if len(errorNames) != 16 {
		t.Errorf("%d codes have an error name, want 16", len(errorNames))
	}
}

// Guards against invalid requests without a clear error, and against bodies of unlimited size.
func TestBadInput(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		status int
	}{
		"not JSON":      {`{`, http.StatusBadRequest},
		"wrong type":    {`{"query":5}`, http.StatusBadRequest},
		"missing field": {`{}`, http.StatusBadRequest},
		"too long text": {`{"query":"` + strings.Repeat("a", 70000) + `"}`, http.StatusBadRequest},
		"too large":     {`{"query":"` + strings.Repeat("a", maxBodyBytes) + `"}`, http.StatusRequestEntityTooLarge},
	} {
		got, _, body := post(NewHandler(refusingTier{}), c.body)
		if got != c.status || body["code"] != "bad_request" || body["ran"] != "no" || body["message"] == "" {
			t.Errorf("%s: status %d, body %v, want status %d", name, got, body, c.status)
		}
	}
}

type leavingTier struct {
	refusingTier
	leaving bool
}

func (l leavingTier) Leaving() bool { return l.leaving }

// Guards against connections that stay open while the instance stops, so that the next request on them is lost.
func TestLeavingClosesConnections(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		tier := leavingTier{refusingTier{&caller.Refusal{Code: caller.CodeDraining, Ran: caller.RanNo}}, leaving}
		if _, header, _ := post(NewHandler(tier), `{"query":"q"}`); (header.Get("Connection") == "close") != leaving {
			t.Errorf("leaving %v: Connection is %q", leaving, header.Get("Connection"))
		}
	}
}

// idRecordingTier records the IDs of the queries that it refuses.
type idRecordingTier struct {
	refusingTier
	ids []string
}

func (a *idRecordingTier) Query(_ context.Context, q traffic.Query) (*traffic.Answer, *caller.Refusal) {
	a.ids = append(a.ids, q.ID)
	return nil, caller.Refuse(caller.CodeNoTarget, 0, "m")
}

// Guards against refused requests that cannot be found in the logs by the ID in their response.
func TestEachResponseContainsItsRequestID(t *testing.T) {
	tier := &idRecordingTier{}
	handler := NewHandler(tier)
	for i := range 2 {
		if _, header, _ := post(handler, `{"query":"q"}`); header.Get(HeaderRequestID) == "" || header.Get(HeaderRequestID) != tier.ids[i] {
			t.Errorf("the response contains request ID %q, the tier received %q", header.Get(HeaderRequestID), tier.ids[i])
		}
	}
	if tier.ids[0] == tier.ids[1] {
		t.Error("two requests have the same ID")
	}
}

// Guards against requests that are refused before they reach the tier and are not logged.
func TestMalformedRequestsAreReported(t *testing.T) {
	reported := map[string]caller.Code{}
	handler := NewHandler(refusingTier{}, OnMalformed(func(id string, r *caller.Refusal) { reported[id] = r.Code }))
	for _, body := range []string{`{`, `{}`, strings.Repeat("x", maxBodyBytes+1)} {
		status, header, _ := post(handler, body)
		if id := header.Get(HeaderRequestID); status < 400 || id == "" || reported[id] != caller.CodeBadRequest {
			t.Errorf("a body of %d bytes got status %d and ID %q, reported as %q", len(body), status, id, reported[id])
		}
	}
}
