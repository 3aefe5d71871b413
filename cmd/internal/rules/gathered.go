package rules

import (
	"fmt"
	"maps"
	"slices"
)

// falseParts: a gathered answer names a part of another request, of a target that did not run this one, or two of one shard.
func falseParts(h *history) (out []Verdict) {
	for _, r := range h.order {
		if r.ended == nil {
			continue
		}
		if problem := h.falsePart(r); problem != "" {
			out = append(out, Verdict{Mixed, r.ended.At, fmt.Sprintf("%s: %s", r.sent.Request, problem)})
		}
	}
	return out
}

// falsePart says what is wrong with the parts of an answer, "" if nothing is.
func (h *history) falsePart(r *request) string {
	named := map[string]bool{} // services
	for _, p := range r.ended.Parts {
		ran := slices.ContainsFunc(r.runs, func(x *run) bool { return x.began.Target == p.Target })
		service := h.serviceOf[p.Target]
		switch {
		case p.Request != r.sent.Request:
			return fmt.Sprintf("a part of %s belongs to %s", p.Target, p.Request)
		case !ran:
			return fmt.Sprintf("%s has a part in the answer and did not run the request", p.Target)
		case named[service]:
			return fmt.Sprintf("two parts of %s", service)
		}
		named[service] = true
	}
	return ""
}

// uncovered: a gathered answer has fewer parts than its route requires.
func uncovered(h *history) (out []Verdict) {
	for _, r := range h.order {
		if r.ended != nil && r.ended.Status == 200 && len(r.ended.Parts) < r.sent.MinParts {
			out = append(out, Verdict{Covered, r.ended.At, fmt.Sprintf("%s was answered with %d parts, its route requires %d", r.sent.Request, len(r.ended.Parts), r.sent.MinParts)})
		}
	}
	return out
}

const (
	// maxDropped is how many requests may be refused although their parts were there or under way, or which part of all that
	// are judged: instances give up a request early while its targets seem not to respond, for example on a busy machine. Eight
	// runs of 30 s had at most 4, and one in which groups with a part that was shed were dropped had 12.
	maxDropped     = 8
	maxDroppedPart = 0.01
	// earlyPart is the part of the time of a request after which a refusal is not judged: parts may be late because the machine
	// is.
	earlyPart = 0.5
)

// dropped: with no unplanned disruption, more than a few gathered requests are refused early although targets of enough shards
// had finished them, or were running them until the refusal cut them.
func dropped(h *history) []Verdict {
	n, judged, last := 0, 0, Time(0)
	for _, r := range h.order {
		if r.sent.MinParts == 0 || r.ended == nil || h.anyDisruption(r.sent.At-h.bounds.Contact, r.ended.At) {
			continue
		}
		judged++
		if r.ended.Status < 400 || r.ended.At >= r.sent.At+Time(earlyPart*float64(r.limit())) {
			continue
		}
		sound := map[string]bool{} // services
		for _, x := range r.runs {
			finished := x.ended != nil && x.ended.End == Finished && !x.ended.Failed
			if x.began.At < r.ended.At && (finished || x.ended != nil && x.ended.End == Cut) {
				sound[h.serviceOf[x.began.Target]] = true
			}
		}
		if len(sound) >= r.sent.MinParts {
			n, last = n+1, r.ended.At
		}
	}
	if n <= maxDropped || float64(n) <= maxDroppedPart*float64(judged) {
		return nil
	}
	return []Verdict{{Dropped, last, fmt.Sprintf("%d requests were refused although targets had finished or were running enough of their parts", n)}}
}

const (
	// starvedShare is the part of its usual share of the answers below which a priority starves in a shortage.
	starvedShare = 0.25
	// minUsualAnswers is the number of answers that a priority must have by its usual share, so that chance does not decide.
	minUsualAnswers = 80
)

// starved: over all shortages, a priority gets less than a quarter of its usual share of the answers. The share in a shortage
// is compared with that outside of it, which does not depend on the speed of the machine.
func starved(h *history) (out []Verdict) {
	usual, short := map[int]int{}, map[int]int{} // answers by priority
	usualTotal, shortTotal := 0, 0
	for _, r := range h.order {
		if r.ended == nil || r.ended.Status != 200 || r.sent.MinParts == 0 {
			continue
		}
		if slices.ContainsFunc(h.shortages, func(s Shortage) bool { return s.At <= r.sent.At && r.sent.At <= s.Until }) {
			short[r.sent.Priority]++
			shortTotal++
		} else {
			usual[r.sent.Priority]++
			usualTotal++
		}
	}
	for _, p := range slices.Sorted(maps.Keys(usual)) {
		expected := float64(usual[p]) / float64(usualTotal) * float64(shortTotal)
		if expected >= minUsualAnswers && float64(short[p]) < starvedShare*expected {
			out = append(out, Verdict{Starved, h.shortages[0].At, fmt.Sprintf("priority %d got %d answers in shortages, %.0f by its usual share", p, short[p], expected)})
		}
	}
	return out
}

// minOfVariant is the number of requests of each variant that an instance must have got, so that chance does not decide.
const minOfVariant = 60

// unequal: over the whole run, an instance answers a variant of the gathered requests less than a quarter as often as the usual
// ones.
func unequal(h *history) (out []Verdict) {
	type variant struct{ instance, name string }
	sent, answered := map[variant]int{}, map[variant]int{}
	for _, r := range h.order {
		if r.sent.MinParts == 0 {
			continue
		}
		v := variant{r.sent.Instance, r.sent.Variant}
		sent[v]++
		if r.ended != nil && r.ended.Status == 200 {
			answered[v]++
		}
	}
	for v, n := range sent {
		usual := variant{instance: v.instance}
		if n < minOfVariant || sent[usual] < minOfVariant {
			continue
		}
		expected := float64(answered[usual]) / float64(sent[usual]) * float64(n)
		if expected >= minOfVariant/4 && float64(answered[v]) < starvedShare*expected {
			out = append(out, Verdict{Unequal, 0, fmt.Sprintf("%s answered %d of %d requests with %s, %.0f as of the others", v.instance, answered[v], n, v.name, expected)})
		}
	}
	return out
}
