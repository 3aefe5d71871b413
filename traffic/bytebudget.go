package traffic

import (
	"errors"
	"io"
	"sync/atomic"
)

// ByteBudget bounds the bytes of requests or replies that are held in memory at the same time. It is safe for concurrent
// use.
type ByteBudget struct {
	limit int64
	used  atomic.Int64
}

// NewByteBudget returns a budget of limit bytes.
func NewByteBudget(limit int64) *ByteBudget { return &ByteBudget{limit: limit} }

// Used returns the number of bytes that are held.
func (b *ByteBudget) Used() int64 { return b.used.Load() }

// take takes n bytes from the budget and reports whether that many were left.
func (b *ByteBudget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// ErrBodyTooLarge means that a body is longer than allowed.
var ErrBodyTooLarge = errors.New("body too large")

// ErrNoMemory means that other bodies hold the bytes of the budget.
var ErrNoMemory = errors.New("no memory left for bodies")

// initialBodyBuffer is the first buffer size in bytes for a body of unknown length.
const initialBodyBuffer = 4 << 10

// HeldBytes is the memory of one body, which stays counted until Release.
type HeldBytes struct {
	budget *ByteBudget
	bytes  int64
}

// Release gives the bytes back. It may be called more than once.
func (h *HeldBytes) Release() {
	if h.budget != nil {
		h.budget.used.Add(-h.bytes)
	}
	*h = HeldBytes{}
}

// Hold counts n bytes that are in memory already. It reports false and counts none if the budget has not that many left. A
// nil budget has no limit.
func (b *ByteBudget) Hold(n int) (HeldBytes, bool) {
	if b == nil || n == 0 {
		return HeldBytes{}, true
	}
	if !b.take(int64(n)) {
		return HeldBytes{}, false
	}
	return HeldBytes{budget: b, bytes: int64(n)}, true
}

// absorb adds the bytes of other, which are of the same budget, and leaves other empty.
func (h *HeldBytes) absorb(other *HeldBytes) {
	if other.budget != nil {
		h.budget, h.bytes = other.budget, h.bytes+other.bytes
	}
	*other = HeldBytes{}
}

// shrink gives back the bytes above n.
func (h *HeldBytes) shrink(n int) {
	if excess := h.bytes - int64(n); h.budget != nil && excess > 0 {
		h.budget.used.Add(-excess)
		h.bytes -= excess
	}
}

// ReadBody reads a body of at most limit bytes. length is its declared length, -1 if unknown. On success the memory of the
// body is held until the caller releases it. Errors are ErrBodyTooLarge, ErrNoMemory or those of r; a body that ends before
// its declared length gives io.ErrUnexpectedEOF.
func (b *ByteBudget) ReadBody(r io.Reader, length int64, limit int) ([]byte, HeldBytes, error) {
	if length == 0 {
		return nil, HeldBytes{}, nil
	}
	if length > int64(limit) {
		return nil, HeldBytes{}, ErrBodyTooLarge
	}
	held := HeldBytes{budget: b}
	body, err := b.read(r, length, limit, &held)
	if err != nil {
		held.Release()
		return nil, HeldBytes{}, err
	}
	return body, held, nil
}

// read reads r to its end, or length bytes if length is positive. It adds the memory of the result to held.
func (b *ByteBudget) read(r io.Reader, length int64, limit int, held *HeldBytes) ([]byte, error) {
	size := int64(min(initialBodyBuffer, limit+1))
	if length > 0 {
		size = length
	}
	var body []byte
	for {
		grown := size - int64(cap(body))
		if !b.take(grown) {
			return nil, ErrNoMemory
		}
		held.bytes += grown
		next := make([]byte, len(body), size)
		copy(next, body)
		body = next
		for len(body) < cap(body) {
			n, err := r.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			switch {
			case err == io.EOF && int64(len(body)) < length:
				return nil, io.ErrUnexpectedEOF
			case err == io.EOF:
				return body, nil
			case err != nil:
				return nil, err
			}
		}
		switch {
		case length > 0:
			return body, nil
		case len(body) > limit:
			return nil, ErrBodyTooLarge
		}
		size = min(2*size, int64(limit)+1)
	}
}
