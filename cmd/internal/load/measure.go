package load

import (
	"cmp"
	"slices"
	"time"
)

// admission is an admitted request of an organisation. The instance admitted it at some time between sent and answered,
// which are counted from the start of the run.
type admission struct{ sent, answered time.Duration }

// rateExcess returns the maximum, over all time windows of any length w, of the number of admitted requests less
// rate*w + burst. The result is at most zero if the rate guarantee holds. A window counts only requests that were both sent
// and answered inside it, so that transport delays can't cause a positive result.
func rateExcess(admissions []admission, rate, burst float64) float64 {
	if len(admissions) == 0 {
		return -burst
	}
	byAnswer := slices.Clone(admissions)
	slices.SortFunc(byAnswer, func(a, b admission) int { return cmp.Compare(a.answered, b.answered) })
	order := make([]int, len(byAnswer)) // indexes into byAnswer, by descending sent time
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(byAnswer[b].sent, byAnswer[a].sent) })
	// The loop below moves the window start back through the sent times. For each index, the tree holds the number of
	// requests in the window that ends with the answer at that index, less rate*answered. A worst window ends with the
	// answer of a request inside it, so the values of requests sent before the window start are lowered by a penalty that
	// keeps them below all others.
	penalty := 2 * (rate*byAnswer[len(byAnswer)-1].answered.Seconds() + float64(len(byAnswer)) + burst)
	tree := newMaxTree(len(byAnswer))
	for i, e := range byAnswer {
		tree.add(i, i+1, -rate*e.answered.Seconds()-penalty)
	}
	worst := -burst
	for _, i := range order {
		tree.add(i, i+1, penalty)
		tree.add(i, len(byAnswer), 1)
		worst = max(worst, tree.max()+rate*byAnswer[i].sent.Seconds()-burst)
	}
	return worst
}

// maxTree is a segment tree over an array of values, with addition to a range and the maximum of all values.
type maxTree struct {
	size     int
	greatest []float64
	pending  []float64
}

func newMaxTree(n int) *maxTree {
	return &maxTree{size: n, greatest: make([]float64, 4*n), pending: make([]float64, 4*n)}
}

func (t *maxTree) max() float64 { return t.greatest[1] }

// add adds v to the values at indexes from <= i < to.
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

// tokenBucket is a reference token bucket with an organisation's rate and burst for the whole fleet.
type tokenBucket struct {
	rate, burst, tokens float64
	updated             time.Duration
}

func newTokenBucket(rate, burst float64) *tokenBucket {
	return &tokenBucket{rate: rate, burst: burst, tokens: burst}
}

// available refills the bucket and reports whether a request at that time is within the rate. Times must not decrease.
func (b *tokenBucket) available(at time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.updated).Seconds())
	b.updated = at
	return b.tokens >= 1
}

// spend removes a token for an admitted request. Requests that the system admitted above the rate make the number of
// tokens negative, so that later refusals don't count as wrongful.
func (b *tokenBucket) spend() { b.tokens-- }

// worstServed returns the index of the organisation with the lowest service among those that sent requests, the lowest
// index on a tie, and -1 if no organisation sent a request.
func worstServed(service []float64, sent []int) int {
	worst := -1
	for i, s := range service {
		if sent[i] > 0 && (worst < 0 || s < service[worst]) {
			worst = i
		}
	}
	return worst
}
