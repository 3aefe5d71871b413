package document

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a difference that does not reproduce the new content exactly.
func TestDifferenceIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.SampledFrom([]string{"alpha", "beta", "gamma", "x", "{}", "0123456789abcdef0123456789abcdef"})
		text := func(label string) []byte {
			var out bytes.Buffer
			for _, l := range rapid.SliceOfN(line, 0, 200).Draw(t, label) {
				out.WriteString(l)
			}
			return out.Bytes()
		}
		old := Content{Revision: 1, Bytes: text("old")}
		next := Content{Revision: 2, Bytes: text("next")}
		d, err := Diff(old, next)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Apply(old, d)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.Bytes, next.Bytes) || got.Revision != next.Revision {
			t.Fatalf("got %q, want %q", got.Bytes, next.Bytes)
		}
	})
}

// Guards against applying a difference to content that it was not computed from, with another revision or other text.
func TestDifferenceOfAnotherValueIsRefused(t *testing.T) {
	old, next := Content{Revision: 1, Bytes: keyList(1000, -1)}, Content{Revision: 2, Bytes: keyList(1000, 5)}
	d, err := Diff(old, next)
	if err != nil {
		t.Fatal(err)
	}
	other := Content{Revision: 1, Bytes: keyList(1000, 7)}
	if _, err := Apply(other, d); !errors.Is(err, ErrMismatch) {
		t.Fatalf("same revision with other text: error %v, want ErrMismatch", err)
	}
	if _, err := Apply(Content{Revision: 3, Bytes: old.Bytes}, d); !errors.Is(err, ErrMismatch) {
		t.Fatalf("other revision: error %v, want ErrMismatch", err)
	}
}

// Guards against a history that exceeds its bounds or from which some revision cannot be brought up to date.
func TestHistoryIsBoundedAndContiguous(t *testing.T) {
	history := ContentHistory{}.Adopt(Content{Revision: 1, Bytes: keyList(10, -1)}, nil)
	for r := Revision(2); r < 100; r++ {
		next := Content{Revision: r, Bytes: keyList(10, int(r))}
		d, err := Diff(history.Content, next)
		if err != nil {
			t.Fatal(err)
		}
		history = history.Adopt(next, []Difference{d})
	}
	if len(history.Differences) != maxHistory {
		t.Fatalf("history has %d entries, want %d", len(history.Differences), maxHistory)
	}
	for _, after := range []Revision{0, 1, 36, 50, 98} {
		chain, err := history.DifferencesSince(after)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ContentHistory{Content: Content{Revision: after, Bytes: keyList(10, int(after))}}.ApplyAll(chain)
		if err != nil || !bytes.Equal(got.Bytes, history.Bytes) {
			t.Fatalf("after %d: error %v, revision %d", after, err, got.Revision)
		}
	}
}

// keyList returns a text that resembles a list of keys: about 100 bytes per line, with incompressible digests. If changed
// is not negative, that line differs from the unchanged text.
func keyList(lines, changed int) []byte {
	var out bytes.Buffer
	state := uint64(1)
	for i := range lines {
		suffix := 0
		if i == changed%max(lines, 1) && changed >= 0 {
			suffix = changed
		}
		var digest [4]uint64
		for j := range digest {
			state = state*6364136223846793005 + 1442695040888963407
			digest[j] = state ^ state>>29
		}
		fmt.Fprintf(&out, `{"id":"key-%d-%d","sha256":"%016x%016x%016x%016x"},`, i, suffix, digest[0], digest[1], digest[2], digest[3])
	}
	return out.Bytes()
}

func BenchmarkDifference(b *testing.B) {
	for _, lines := range []int{100, 1000, 10000} {
		old, next := Content{Revision: 1, Bytes: keyList(lines, -1)}, Content{Revision: 2, Bytes: keyList(lines, lines/2)}
		d, err := Diff(old, next)
		if err != nil {
			b.Fatal(err)
		}
		whole, _ := Diff(Content{}, next)
		b.Run(fmt.Sprintf("make/%dB", len(next.Bytes)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = Diff(old, next)
			}
			b.ReportMetric(float64(len(d.Patch)), "patch-bytes")
			b.ReportMetric(float64(len(whole.Patch)), "whole-bytes")
		})
		b.Run(fmt.Sprintf("apply/%dB", len(next.Bytes)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = Apply(old, d)
			}
		})
	}
}

// Guards against a difference for one changed line that is as large as the whole value. This happened for values near one
// megabyte with an encoder whose match tables cover only a part of the value.
func TestDifferenceOfOneLineIsSmall(t *testing.T) {
	const maxBytes = 2 << 10 // 3,800 changes per day, each sent 24 times, then need at most 2 KB/s
	for _, lines := range []int{100, 1000, 10000} {
		d, err := Diff(Content{Revision: 1, Bytes: keyList(lines, -1)}, Content{Revision: 2, Bytes: keyList(lines, lines/2)})
		if err != nil {
			t.Fatal(err)
		}
		if len(d.Patch) > maxBytes {
			t.Errorf("one line of %d: the difference has %d bytes, limit %d", lines, len(d.Patch), maxBytes)
		}
	}
}
