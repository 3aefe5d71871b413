package linelog

import (
	"bytes"
	"sync"
	"testing"
	"time"
)

// blocked is an output that takes nothing until it is released.
type blocked struct {
	mu      sync.Mutex
	release chan struct{}
	got     bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// Guards against a blocked standard output that makes requests wait: it may only cost lines, which are counted.
func TestBlockedOutputCostsLinesOnly(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	w := New(out)
	// A batch may have taken lines from the queue before its write blocked.
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
	if got := int64(bytes.Count(out.got.Bytes(), []byte("\n"))); got != int64(lines)-w.Dropped() {
		t.Errorf("%d lines written and %d dropped of %d", got, w.Dropped(), lines)
	}
}

// States the cost of one line.
func BenchmarkWrite(b *testing.B) {
	w := New(bytes.NewBuffer(nil))
	line := bytes.Repeat([]byte("x"), 400)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
