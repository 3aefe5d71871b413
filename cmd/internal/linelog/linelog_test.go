package linelog

import (
	"bytes"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// Guards against a blocked standard output that delays requests. Lines may be dropped, and are then counted.
func TestBlockedOutputCostsLinesOnly(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := New(out)
	// The first batch can take lines from the queue before its write blocks.
	const lines = queueLines + batchBytes/len("line\n") + 1000
	start := time.Now()
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("write: %d, %v", n, err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("%d writes to a blocked output took %v", lines, took)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(out.release)
	limit := make(chan struct{})
	time.AfterFunc(10*time.Second, func() { close(limit) })
	w.Close(limit)
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := int64(bytes.Count(out.written.Bytes(), []byte("\n"))); got != int64(lines)-w.Dropped() {
		t.Errorf("%d lines written and %d dropped of %d", got, w.Dropped(), lines)
	}
}

// Measures the cost of logging one line.
func BenchmarkWrite(b *testing.B) {
	w := New(bytes.NewBuffer(nil))
	line := bytes.Repeat([]byte("x"), 400)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
