package load

import (
	"fmt"
	"slices"

	"dogwooddrift.org/drift/cmd/internal/standin"
	"dogwooddrift.org/drift/targets"
)

// Response is the body of an answer or a refusal.
type Response struct {
	Code      string           `json:"code"`
	Ran       string           `json:"ran"`
	RequestID string           `json:"request_id"`
	Snapshot  targets.Snapshot `json:"snapshot"`
	Coverage  struct {
		Answered int `json:"answered"`
		Total    int `json:"total"`
		Missing  []struct {
			Shard  targets.Shard `json:"shard"`
			Reason string        `json:"reason"`
		} `json:"missing"`
	} `json:"coverage"`
	Results []struct {
		Shard  targets.Shard `json:"shard"`
		Result string        `json:"result"`
	} `json:"results"`
	Outcome string `json:"outcome"`
}

// UntruthfulAnswer compares an answer to a query with the manifest of its snapshot, and each result with what a
// target replies to this query. It returns what is wrong.
func UntruthfulAnswer(text string, r *Response, manifest []targets.Shard) []string {
	var wrong []string
	if manifest == nil {
		return []string{fmt.Sprintf("snapshot %d does not exist", r.Snapshot)}
	}
	if r.Coverage.Answered != len(r.Results) || r.Coverage.Total != len(manifest) {
		wrong = append(wrong, fmt.Sprintf("coverage %d of %d, but %d results of %d shards",
			r.Coverage.Answered, r.Coverage.Total, len(r.Results), len(manifest)))
	}
	var named []targets.Shard
	for _, result := range r.Results {
		named = append(named, result.Shard)
		if want := standin.Result(result.Shard, r.Snapshot, text); result.Result != want {
			wrong = append(wrong, fmt.Sprintf("shard %s answered %q, want %q", result.Shard, result.Result, want))
		}
	}
	for _, m := range r.Coverage.Missing {
		named = append(named, m.Shard)
		if m.Reason == "" {
			wrong = append(wrong, fmt.Sprintf("shard %s is missing without a reason", m.Shard))
		}
	}
	slices.Sort(named)
	if !slices.Equal(named, slices.Sorted(slices.Values(manifest))) {
		wrong = append(wrong, fmt.Sprintf("results and missing name the shards %v, the snapshot has %v", named, manifest))
	}
	return wrong
}

// ChangeResult is what a caller learned of a change, over all its sendings.
type ChangeResult struct {
	Answered int // 200
	NotRun   int // refused with "ran: no"
	Sent     int
}

// UntruthfulChange compares what the caller learned of a change with how often it ran.
func UntruthfulChange(key string, r ChangeResult, runs int) []string {
	var wrong []string
	if runs > 1 {
		wrong = append(wrong, fmt.Sprintf("change %s ran %d times", key, runs))
	}
	// A duplicate is refused with "ran: no" for its own sending; only when all sendings are said not to have
	// run, the change as a whole is.
	if r.NotRun == r.Sent && runs > 0 {
		wrong = append(wrong, fmt.Sprintf("change %s was refused as not run, but ran %d times", key, runs))
	}
	if r.Answered > 0 && runs == 0 {
		wrong = append(wrong, fmt.Sprintf("change %s was answered, but did not run", key))
	}
	return wrong
}
