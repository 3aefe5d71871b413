// Package linelog writes log lines asynchronously, so that a slow output never blocks the code that logs.
package linelog

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// queueLines bounds the queued lines. It is enough for some seconds at the highest rate of logging.
	queueLines = 2048
	// batchBytes is the size above which no further line is added to a write.
	batchBytes = 64 << 10
)

// Writer passes lines to another writer on a separate goroutine. If that writer does not keep up, lines are dropped and
// counted.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	closeOnce sync.Once
	written   chan struct{} // closed when all lines are written after Close
	closing   chan struct{}
}

// New returns a Writer that writes to out. Close ends its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), written: make(chan struct{}), closing: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of line, which may consist of several lines that are kept or dropped together. It never blocks and
// never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of writes that were dropped because the queue was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and returns when they are written or when limit is closed.
func (w *Writer) Close(limit <-chan struct{}) {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.written:
	case <-limit:
	}
}

func (w *Writer) run() {
	defer close(w.written)
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
		case <-w.closing:
			for {
				select {
				case line := <-w.lines:
					_, _ = w.out.Write(line)
				default:
					return
				}
			}
		}
	fillBatch:
		for len(batch) < batchBytes {
			select {
			case line := <-w.lines:
				batch = append(batch, line...)
			default:
				break fillBatch
			}
		}
		// The error is ignored: there is no other place to log it.
		_, _ = w.out.Write(batch)
	}
}
