package requestlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"dogwooddrift.org/drift/traffic"
)

// linesByRequest returns the number of logged lines of each request ID.
func linesByRequest(t *testing.T, out *bytes.Buffer) map[string]int {
	t.Helper()
	n := map[string]int{}
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var l struct{ Request string }
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		n[l.Request]++
	}
	return n
}

// Guards against requests of which only some lines are written, and against a log volume that grows with the load.
func TestRequestsAreLoggedWholeWithinTheLimits(t *testing.T) {
	out := &bytes.Buffer{}
	log := New(out, zerolog.New(out), Limits{FailuresPerSecond: 5, SuccessesPerSecond: 2})
	for i := range 100 {
		log.Record(&traffic.Record{
			ID: "ok-" + string(rune('a'+i%26)) + string(rune('a'+i/26)), Route: "r", Outcome: traffic.OutcomeOK, Parts: 1, Covered: 1,
		})
		log.Record(&traffic.Record{
			ID: "late-" + string(rune('a'+i%26)) + string(rune('a'+i/26)), Route: "r", Outcome: "deadline", Parts: 1,
			Attempts: []traffic.AttemptRecord{{Attempt: 1, Target: "t", Outcome: "cancelled"}},
		})
	}
	ok, failed := 0, 0
	for id, n := range linesByRequest(t, out) {
		switch {
		case strings.HasPrefix(id, "ok-"):
			ok++
			if n != 2 {
				t.Errorf("%s has %d lines, want 2", id, n)
			}
		default:
			failed++
			if n != 3 {
				t.Errorf("%s has %d lines, want 3", id, n)
			}
		}
	}
	// The buckets refill while the test runs.
	if ok < 2 || ok > 4 || failed < 5 || failed > 8 || log.Omitted() != int64(200-ok-failed) {
		t.Errorf("%d successful and %d failed requests logged, %d omitted", ok, failed, log.Omitted())
	}
}

// Guards against failures that are omitted because successes use up the limit.
func TestFailuresAreLoggedBesideManySuccesses(t *testing.T) {
	out := &bytes.Buffer{}
	log := New(out, zerolog.New(out), Limits{FailuresPerSecond: 5, SuccessesPerSecond: 1})
	for range 1000 {
		log.Record(&traffic.Record{ID: "ok", Outcome: traffic.OutcomeOK})
	}
	log.Record(&traffic.Record{ID: "failed", Outcome: "deadline"})
	log.Record(&traffic.Record{ID: "partial", Outcome: traffic.OutcomeOK, Parts: 3, Covered: 2})
	if n := linesByRequest(t, out); n["failed"] != 1 || n["partial"] != 1 {
		t.Errorf("lines: %v", n)
	}
}
