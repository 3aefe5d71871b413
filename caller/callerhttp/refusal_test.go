package callerhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/traffic"
)

type refusing struct{ refusal *caller.Refusal }

func (r refusing) Query(context.Context, traffic.Query) (*traffic.Answer, *caller.Refusal) {
	return nil, r.refusal
}
func (r refusing) Change(context.Context, traffic.Change) (*traffic.Outcome, *caller.Refusal) {
	return nil, r.refusal
}
func (refusing) Ready() bool { return true }

// Guards against a refusal whose code, or whether it ran, is lost on the way: every refusal was sent as bad_request
// with "ran: no", also those whose outcome is unknown.
func TestRefusalKeepsCodeAndRan(t *testing.T) {
	for code := range groups {
		want := caller.Refusal{Code: code, Ran: caller.RanUnknown, Message: "why", RetryAfter: 1e9}
		handler := NewHandler(refusing{refusal: &want})
		r := httptest.NewRequest(http.MethodPost, "/v1/services/s/query", strings.NewReader(`{"query":"x"}`))
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		var got invalid
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		if got.Code != string(code) || got.Ran != string(caller.RanUnknown) || got.Message != "why" || got.RetryAfterMs != 1000 {
			t.Errorf("%s: sent as %s", code, w.Body)
		}
	}
}
