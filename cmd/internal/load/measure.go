package load

import (
	"cmp"
	"slices"
	"time"
)

// event is one admitted request of an organisation: it was admitted at some moment between sent and answered.
type event struct{ sent, answered time.Duration }

// rateExcess returns by how many requests the admitted ones exceed rate*w + burst in the worst window of any
// length w, at most zero when the guarantee holds. A request counts for a window only if it was sent and
// answered inside, so the excess is a proof and not an artefact of transport times.
func rateExcess(events []event, rate, burst float64) float64 {
	if len(events) == 0 {
		return -burst
	}
	byAnswer := slices.Clone(events)
	slices.SortFunc(byAnswer, func(a, b event) int { return cmp.Compare(a.answered, b.answered) })
	order := make([]int, len(byAnswer)) // positions in byAnswer, latest sent first
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(byAnswer[b].sent, byAnswer[a].sent) })
	// For windows that start at a, the tree holds at each position the number of requests inside the window
	// up to its answer, less rate*answer. Positions whose request was sent before a are put far below all
	// others: a worst window ends with the answer of a request inside.
	low := 2 * (rate*byAnswer[len(byAnswer)-1].answered.Seconds() + float64(len(byAnswer)) + burst)
	tree := newMaxTree(len(byAnswer))
	for i, e := range byAnswer {
		tree.add(i, i+1, -rate*e.answered.Seconds()-low)
	}
	worst := -burst
	for _, i := range order {
		tree.add(i, i+1, low)
		tree.add(i, len(byAnswer), 1)
		worst = max(worst, tree.max()+rate*byAnswer[i].sent.Seconds()-burst)
	}
	return worst
}

// maxTree adds to ranges of values and returns the greatest.
type maxTree struct {
	size     int
	greatest []float64
	pending  []float64
}

func newMaxTree(n int) *maxTree {
	return &maxTree{size: n, greatest: make([]float64, 4*n), pending: make([]float64, 4*n)}
}

func (t *maxTree) max() float64 { return t.greatest[1] }

// add adds v to the values from position from up to, but without, position to.
func (t *maxTree) add(from, to int, v float64) { t.update(1, 0, t.size, from, to, v) }

func (t *maxTree) update(node, low, high, from, to int, v float64) {
	if to <= low || high <= from {
		return
	}
	if from <= low && high <= to {
		t.greatest[node] += v
		t.pending[node] += v
		return
	}
	middle := (low + high) / 2
	t.update(2*node, low, middle, from, to, v)
	t.update(2*node+1, middle, high, from, to, v)
	t.greatest[node] = t.pending[node] + max(t.greatest[2*node], t.greatest[2*node+1])
}

// allowance is an organisation's rate and burst counted over the whole fleet.
type allowance struct {
	rate, burst, level float64
	last               time.Duration
}

func newAllowance(rate, burst float64) *allowance {
	return &allowance{rate: rate, burst: burst, level: burst}
}

// available reports whether a request at that time is inside the rate. Times must not decrease.
func (a *allowance) available(at time.Duration) bool {
	a.level = min(a.burst, a.level+a.rate*(at-a.last).Seconds())
	a.last = at
	return a.level >= 1
}

// spend counts an admitted request. Requests that the system admitted beyond the rate lower the level below
// zero, so that what follows is not counted as wrongful.
func (a *allowance) spend() { a.level-- }

// worstServed returns the index of the organisation with the lowest service, the first of equals; -1 when none
// sent anything.
func worstServed(service []float64, sent []int) int {
	worst := -1
	for i, s := range service {
		if sent[i] > 0 && (worst < 0 || s < service[worst]) {
			worst = i
		}
	}
	return worst
}
