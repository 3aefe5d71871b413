// Package linelog writes log lines without ever making their writer wait.
package linelog

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// queueLines bounds the lines that wait to be written: some seconds at the highest rate that is logged.
	queueLines = 2048
	// batchBytes bounds the bytes of one write.
	batchBytes = 64 << 10
)

// Writer passes lines on to a slower writer on a goroutine of its own. When that one does not keep up, lines are
// dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	done    chan struct{}
	closing chan struct{}
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), closing: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, and waits for it until the done channel of the caller closes.
func (w *Writer) Close(limit <-chan struct{}) {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-limit:
	}
}

func (w *Writer) run() {
	defer close(w.done)
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
	more:
		for len(batch) < batchBytes {
			select {
			case line := <-w.lines:
				batch = append(batch, line...)
			default:
				break more
			}
		}
		// A log that cannot be written has nowhere to say so.
		_, _ = w.out.Write(batch)
	}
}
