package targets

import (
	"cmp"
	"container/heap"
	"time"
)

// OrderKey is the place of an item in an Order.
type OrderKey struct {
	// Rank is the number of more urgent priorities.
	Rank int
	// NeededBy is when the result must be there; it orders items of the same rank.
	NeededBy time.Time
}

// Order is a queue of waiting items: the most urgent priority first, then the least time left, then the first arrival. One
// turn in turnsPerOverdue goes to the item that has waited longest if that is longer than the patience of the queue, so that
// no priority starves: over time each gets its part of these turns. It is not safe for concurrent use.
type Order[T any] struct {
	patience time.Duration
	items    orderHeap[T]
	// first and last are the ends of the list of the items by arrival.
	first, last *OrderItem[T]
	arrivals    int
	turns       int // since the last one of an overdue item
	byRank      []int
}

// turnsPerOverdue is the number of turns of which one goes to an overdue item: each priority gets at least a quarter of its
// usual share.
const turnsPerOverdue = 4

// OrderItem is an item in an Order.
type OrderItem[T any] struct {
	Value T
	Key   OrderKey
	// index is the position in the heap, -1 if the item does not wait.
	index          int
	arrival        int
	arrivedAt      time.Time
	earlier, later *OrderItem[T]
}

// NewOrder returns an empty queue in which an item is overdue after patience.
func NewOrder[T any](patience time.Duration) *Order[T] { return &Order[T]{patience: patience} }

// Len returns the number of waiting items.
func (o *Order[T]) Len() int { return len(o.items) }

// Waiting returns the number of waiting items by rank. The slice is valid until the next change.
func (o *Order[T]) Waiting() []int { return o.byRank }

// Add adds an item.
func (o *Order[T]) Add(v T, k OrderKey, now time.Time) *OrderItem[T] {
	o.arrivals++
	item := &OrderItem[T]{Value: v, Key: k, arrival: o.arrivals, arrivedAt: now, earlier: o.last}
	if o.last != nil {
		o.last.later = item
	} else {
		o.first = item
	}
	o.last = item
	for len(o.byRank) <= k.Rank {
		o.byRank = append(o.byRank, 0)
	}
	o.byRank[k.Rank]++
	heap.Push(&o.items, item)
	return item
}

// Remove removes an item and reports whether it was waiting.
func (o *Order[T]) Remove(item *OrderItem[T]) bool {
	if item.index < 0 {
		return false
	}
	heap.Remove(&o.items, item.index)
	if item.earlier != nil {
		item.earlier.later = item.later
	} else {
		o.first = item.later
	}
	if item.later != nil {
		item.later.earlier = item.earlier
	} else {
		o.last = item.earlier
	}
	item.earlier, item.later = nil, nil
	o.byRank[item.Key.Rank]--
	return true
}

// Next removes and returns the item whose turn it is, nil if none waits.
func (o *Order[T]) Next(now time.Time) *OrderItem[T] {
	if len(o.items) == 0 {
		return nil
	}
	item := o.items[0]
	if o.overdueTurn(now) {
		item, o.turns = o.first, 0
	}
	o.Remove(item)
	return item
}

// overdueTurn counts a turn and reports whether it belongs to the item that has waited longest.
func (o *Order[T]) overdueTurn(now time.Time) bool {
	o.turns++
	return o.turns >= turnsPerOverdue && now.Sub(o.first.arrivedAt) > o.patience
}

// orderHeap is a heap of items, the most urgent first.
type orderHeap[T any] []*OrderItem[T]

func (h orderHeap[T]) Len() int           { return len(h) }
func (h orderHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h orderHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *orderHeap[T]) Push(x any) {
	item := x.(*OrderItem[T])
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *orderHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	item.index = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}

// before reports whether the item is served before other.
func (i *OrderItem[T]) before(other *OrderItem[T]) bool {
	return cmp.Or(i.Key.compare(other.Key), cmp.Compare(i.arrival, other.arrival)) < 0
}

// compare compares two keys; the one that is served first is less.
func (k OrderKey) compare(other OrderKey) int {
	return cmp.Or(cmp.Compare(k.Rank, other.Rank), k.NeededBy.Compare(other.NeededBy))
}
