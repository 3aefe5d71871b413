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

type fakeTier struct {
	refusal *caller.Refusal
	leaving bool
}

func (f *fakeTier) Query(context.Context, traffic.Query) (*traffic.Answer, *caller.Refusal) {
	return nil, f.refusal
}

func (f *fakeTier) Change(context.Context, traffic.Change) (*traffic.Outcome, *caller.Refusal) {
	if f.refusal != nil {
		return nil, f.refusal
	}
	return &traffic.Outcome{}, nil
}

func (f *fakeTier) Ready() bool   { return !f.leaving }
func (f *fakeTier) Leaving() bool { return f.leaving }

func post(t *testing.T, tier Tier, path, body string) *http.Response {
	t.Helper()
	server := httptest.NewServer(NewHandler(tier))
	t.Cleanup(server.Close)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k")
	resp, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// Guards against a refusal whose code or "ran" changes on its way to the caller: goa's formatter once turned every
// refusal into bad_request with ran no.
func TestRefusalsAreEncodedAsTheyAre(t *testing.T) {
	for code, group := range groups {
		for _, ran := range []caller.Ran{caller.RanNo, caller.RanUnknown} {
			tier := &fakeTier{refusal: &caller.Refusal{Code: code, Ran: ran, Message: "m", RetryAfter: 1500 * time.Millisecond}}
			for _, path := range []string{"query", "changes"} {
				resp := post(t, tier, "/v1/services/s/"+path, `{"query":"q","change":"c"}`)
				var got struct {
					Code, Ran, Message string
					RetryAfterMS       int64 `json:"retry_after_ms"`
				}
				if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
					t.Fatal(err)
				}
				if got.Code != string(code) || got.Ran != string(ran) || got.Message != "m" || got.RetryAfterMS != 1500 {
					t.Errorf("%s of %s, ran %s: got %+v", path, code, ran, got)
				}
				if resp.StatusCode < 400 || resp.Header.Get("Goa-Error") != group || resp.Header.Get("Retry-After") != "2" {
					t.Errorf("%s of %s: status %d, headers %v", path, code, resp.StatusCode, resp.Header)
				}
			}
		}
	}
}

// Guards against connections that stay open while the instance stops, and lose the next request when it ends.
func TestLeavingClosesConnections(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		resp := post(t, &fakeTier{leaving: leaving}, "/v1/services/s/changes", `{"change":"c"}`)
		if resp.StatusCode != http.StatusOK || resp.Close != leaving {
			t.Errorf("leaving %v: status %d, connection closes %v", leaving, resp.StatusCode, resp.Close)
		}
	}
}
