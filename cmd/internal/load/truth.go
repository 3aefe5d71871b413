package load

import (
	"fmt"
	"slices"

	"dogwooddrift.org/drift/cmd/internal/standin"
	"dogwooddrift.org/drift/targets"
)

// Response is the decoded body of an answer or a refusal.
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

// UntruthfulAnswer checks the answer to a query against the manifest of its snapshot, and each result against the result
// that the emulated targets compute for this query. It returns a description of each error.
func UntruthfulAnswer(text string, r *Response, manifest []targets.Shard) []string {
	var wrong []string
	if manifest == nil {
		return []string{fmt.Sprintf("snapshot %d does not exist", r.Snapshot)}
	}
	if r.Coverage.Answered != len(r.Results) || r.Coverage.Total != len(manifest) {
		wrong = append(wrong, fmt.Sprintf("coverage %d of %d, but %d results of %d shards",
			r.Coverage.Answered, r.Coverage.Total, len(r.Results), len(manifest)))
	}
	var listedShards []targets.Shard
	for _, result := range r.Results {
		listedShards = append(listedShards, result.Shard)
		if want := standin.Result(result.Shard, r.Snapshot, text); result.Result != want {
			wrong = append(wrong, fmt.Sprintf("shard %s answered %q, want %q", result.Shard, result.Result, want))
		}
	}
	for _, m := range r.Coverage.Missing {
		listedShards = append(listedShards, m.Shard)
		if m.Reason == "" {
			wrong = append(wrong, fmt.Sprintf("shard %s is missing without a reason", m.Shard))
		}
	}
	slices.Sort(listedShards)
	if !slices.Equal(listedShards, slices.Sorted(slices.Values(manifest))) {
		wrong = append(wrong, fmt.Sprintf("results and missing name the shards %v, the snapshot has %v", listedShards, manifest))
	}
	return wrong
}

// ChangeResult counts the responses to all attempts of a change.
type ChangeResult struct {
	Answered int // responses with status 200
	NotRun   int // refusals with "ran: no"
	Sent     int // attempts
}

// UntruthfulChange checks the responses to a change against the number of times it ran, and returns a description of each
// contradiction.
func UntruthfulChange(key string, r ChangeResult, runs int) []string {
	var wrong []string
	if runs > 1 {
		wrong = append(wrong, fmt.Sprintf("change %s ran %d times", key, runs))
	}
	// A duplicate attempt is refused with "ran: no", which refers to that attempt only. The change as a whole counts as not
	// run only if all its attempts are refused with "ran: no".
	if r.NotRun == r.Sent && runs > 0 {
		wrong = append(wrong, fmt.Sprintf("change %s was refused as not run, but ran %d times", key, runs))
	}
	if r.Answered > 0 && runs == 0 {
		wrong = append(wrong, fmt.Sprintf("change %s was answered, but did not run", key))
	}
	return wrong
}
