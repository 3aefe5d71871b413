package document

import (
	"fmt"
	"slices"
)

// Piece is a part of a new list: Count elements of the old list from index From on, followed by the elements of Added, which the old
// list lacks.
type Piece[T any] struct {
	From, Count int
	Added       []T
}

// RoutingDifference turns one version of a routing into a later one. Its size follows the number of routes, services and
// organisations that differ, not the size of the routing.
type RoutingDifference struct {
	// From is the version that the difference applies to, 0 if it contains the whole routing. To is the new version.
	From, To Revision
	Routes   []Piece[Route]
	Services []Piece[RoutedService]
	Accounts []Piece[Account]
	Limits   CallerLimits
}

// DiffRouting returns the difference from old to next. If old is nil, the difference contains the whole of next.
func DiffRouting(old, next *Routing) RoutingDifference {
	if old == nil {
		old = &Routing{}
	}
	return RoutingDifference{
		From: old.Version, To: next.Version, Limits: next.Limits,
		Routes:   diffList(old.Routes, next.Routes, func(r *Route) string { return r.Name }, (*Route).equal),
		Services: diffList(old.Services, next.Services, func(s *RoutedService) string { return s.Name }, (*RoutedService).equal),
		Accounts: diffList(old.Accounts, next.Accounts, func(a *Account) string { return a.Name }, (*Account).equal),
	}
}

// Apply returns the routing that the difference turns old into, without its index. old is nil if there is none; it is not modified.
// Errors wrap ErrMismatch.
func (d *RoutingDifference) Apply(old *Routing) (*Routing, error) {
	if old == nil || d.From == 0 {
		old = &Routing{}
	}
	if d.From != old.Version {
		return nil, fmt.Errorf("%w: it applies to version %d of the routing, not to %d", ErrMismatch, d.From, old.Version)
	}
	next := &Routing{Version: d.To, Limits: d.Limits}
	var err error
	if next.Routes, err = applyPieces(old.Routes, d.Routes); err != nil {
		return nil, fmt.Errorf("routes: %w", err)
	}
	if next.Services, err = applyPieces(old.Services, d.Services); err != nil {
		return nil, fmt.Errorf("services: %w", err)
	}
	if next.Accounts, err = applyPieces(old.Accounts, d.Accounts); err != nil {
		return nil, fmt.Errorf("organisations: %w", err)
	}
	return next, nil
}

// ApplyRouting applies a chain of differences, oldest first, to a routing and returns the indexed result. Errors wrap ErrMismatch or
// ErrInvalidRouting.
func ApplyRouting(old *Routing, chain []RoutingDifference) (*Routing, error) {
	current := old
	for i := range chain {
		next, err := chain[i].Apply(current)
		if err != nil {
			return nil, err
		}
		current = next
	}
	if current == old {
		return nil, fmt.Errorf("%w: it is empty", ErrMismatch)
	}
	if err := current.Index(); err != nil {
		return nil, err
	}
	return current, nil
}

// Elements returns the number of routes, services and organisations that the difference contains.
func (d *RoutingDifference) Elements() int {
	return addedIn(d.Routes) + addedIn(d.Services) + addedIn(d.Accounts)
}

func addedIn[T any](pieces []Piece[T]) int {
	n := 0
	for _, p := range pieces {
		n += len(p.Added)
	}
	return n
}

func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && slices.Equal(r.Services, o.Services) && slices.Equal(r.Shards, o.Shards) &&
		r.TopRecords == o.TopRecords && r.MinCoverage == o.MinCoverage && r.Idempotent == o.Idempotent && r.MaxAttempts == o.MaxAttempts &&
		r.Timeout == o.Timeout && r.LatencyObjective == o.LatencyObjective && r.Priority == o.Priority && r.KeyOptional == o.KeyOptional &&
		slices.Equal(r.Regions, o.Regions)
}

func (s *RoutedService) equal(o *RoutedService) bool { return *s == *o }

func (a *Account) equal(o *Account) bool {
	samePriority := a.Priority == o.Priority || a.Priority != nil && o.Priority != nil && *a.Priority == *o.Priority
	return samePriority && a.Name == o.Name && a.IsHost == o.IsHost && a.Rate == o.Rate && a.Burst == o.Burst && a.Weight == o.Weight &&
		slices.Equal(a.Keys, o.Keys) && slices.Equal(a.Regions, o.Regions)
}

// diffList returns the pieces that make up next. name finds the element of old that an element of next is compared with.
func diffList[T any](old, next []T, name func(*T) string, equal func(a, b *T) bool) []Piece[T] {
	head, tail := 0, 0 // elements that are equal at the beginning and at the end
	for head < min(len(old), len(next)) && equal(&old[head], &next[head]) {
		head++
	}
	for tail < min(len(old), len(next))-head && equal(&old[len(old)-1-tail], &next[len(next)-1-tail]) {
		tail++
	}
	var out []Piece[T]
	if head > 0 {
		out = append(out, Piece[T]{Count: head})
	}
	out = appendPieces(out, old, next[head:len(next)-tail], head, len(old)-tail, name, equal)
	if tail > 0 {
		out = append(out, Piece[T]{From: len(old) - tail, Count: tail})
	}
	return out
}

// appendPieces appends the pieces that make up next from the elements of old between two indexes.
func appendPieces[T any](out []Piece[T], old, next []T, from, to int, name func(*T) string, equal func(a, b *T) bool) []Piece[T] {
	switch {
	case len(next) == 0:
		return out
	case from == to:
		return append(out, Piece[T]{Added: next})
	}
	byName := make(map[string]int, to-from)
	for i := from; i < to; i++ {
		byName[name(&old[i])] = i
	}
	for i := range next {
		last := len(out) - 1
		at, found := byName[name(&next[i])]
		switch {
		case found && equal(&old[at], &next[i]):
			if last >= 0 && len(out[last].Added) == 0 && out[last].From+out[last].Count == at {
				out[last].Count++
			} else {
				out = append(out, Piece[T]{From: at, Count: 1})
			}
		case last < 0:
			out = append(out, Piece[T]{Added: []T{next[i]}})
		default:
			out[last].Added = append(out[last].Added, next[i])
		}
	}
	return out
}

// maxListElements bounds the elements of a list that a difference describes. A value of a megabyte has fewer.
const maxListElements = 1 << 16

// applyPieces returns the list that the pieces make up. Errors wrap ErrMismatch.
func applyPieces[T any](old []T, pieces []Piece[T]) ([]T, error) {
	n := 0
	for _, p := range pieces {
		if p.From < 0 || p.Count < 0 || p.From > len(old) || p.Count > len(old)-p.From {
			return nil, fmt.Errorf("%w: it refers to %d elements from %d on, of %d", ErrMismatch, p.Count, p.From, len(old))
		}
		if n += p.Count + len(p.Added); n > maxListElements {
			return nil, fmt.Errorf("%w: more than %d elements", ErrMismatch, maxListElements)
		}
	}
	if n == 0 {
		return nil, nil
	}
	out := make([]T, 0, n)
	for _, p := range pieces {
		out = append(append(out, old[p.From:p.From+p.Count]...), p.Added...)
	}
	return out, nil
}

const (
	// maxRoutingHistory and maxRoutingHistoryElements bound the number of the differences that an instance keeps for siblings with an
	// earlier version, and of the routes, services and organisations in them.
	maxRoutingHistory         = 64
	maxRoutingHistoryElements = 4096
)

// RoutingHistory is a routing with the latest differences that led to it, from which siblings with an earlier version are brought up to
// date. It is immutable.
type RoutingHistory struct {
	Routing *Routing // nil if there is none
	// differences form a chain that ends at the version of Routing, oldest first.
	differences []RoutingDifference
}

// Adopt returns the history after next, which is not nil. chain is how next was received, nil if it was received whole.
func (h RoutingHistory) Adopt(next *Routing, chain []RoutingDifference) RoutingHistory {
	if h.Routing == nil {
		return RoutingHistory{Routing: next}
	}
	if !continues(chain, h.Routing.Version, next.Version) {
		chain = []RoutingDifference{DiffRouting(h.Routing, next)}
	}
	kept := append(slices.Clip(h.differences), chain...)
	elements := 0
	for i := len(kept) - 1; i >= 0; i-- {
		if elements += kept[i].Elements(); elements > maxRoutingHistoryElements || len(kept)-i > maxRoutingHistory {
			kept = slices.Clone(kept[i+1:])
			break
		}
	}
	return RoutingHistory{Routing: next, differences: kept}
}

// continues reports whether a chain leads from one version to another.
func continues(chain []RoutingDifference, from, to Revision) bool {
	for _, d := range chain {
		if d.From != from {
			return false
		}
		from = d.To
	}
	return len(chain) > 0 && from == to
}

// Since returns the chain of differences, oldest first, that leads from a version to Routing. It holds one difference with the whole
// routing if the history does not reach back to the version, and nothing if there is no routing.
func (h RoutingHistory) Since(version Revision) []RoutingDifference {
	if h.Routing == nil {
		return nil
	}
	for i := range h.differences {
		if version != 0 && h.differences[i].From == version {
			return h.differences[i:]
		}
	}
	return []RoutingDifference{DiffRouting(nil, h.Routing)}
}
