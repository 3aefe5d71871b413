package document

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a difference that does not restore the new content exactly.
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

// Guards against a difference applied to a value that it was not made from, in revision or in text.
func TestDifferenceOfAnotherValueIsRefused(t *testing.T) {
	old, next := Content{Revision: 1, Bytes: bigText(1000, -1)}, Content{Revision: 2, Bytes: bigText(1000, 5)}
	d, err := Diff(old, next)
	if err != nil {
		t.Fatal(err)
	}
	other := Content{Revision: 1, Bytes: bigText(1000, 7)}
	if _, err := Apply(other, d); !errors.Is(err, ErrMismatch) {
		t.Fatalf("same revision with other text: error %v, want ErrMismatch", err)
	}
	if _, err := Apply(Content{Revision: 3, Bytes: old.Bytes}, d); !errors.Is(err, ErrMismatch) {
		t.Fatalf("other revision: error %v, want ErrMismatch", err)
	}
}

// Guards against a history that grows without bound or has gaps.
func TestHistoryIsBoundedAndContiguous(t *testing.T) {
	held := ContentHistory{}.Adopt(Content{Revision: 1, Bytes: bigText(10, -1)}, nil)
	for r := Revision(2); r < 100; r++ {
		next := Content{Revision: r, Bytes: bigText(10, int(r))}
		d, err := Diff(held.Content, next)
		if err != nil {
			t.Fatal(err)
		}
		held = held.Adopt(next, []Difference{d})
	}
	if len(held.Differences) != maxHistory {
		t.Fatalf("history has %d entries, want %d", len(held.Differences), maxHistory)
	}
	for _, after := range []Revision{0, 1, 36, 50, 98} {
		chain, err := held.DifferencesSince(after)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ContentHistory{Content: Content{Revision: after, Bytes: bigText(10, int(after))}}.ApplyAll(chain)
		if err != nil || !bytes.Equal(got.Bytes, held.Bytes) {
			t.Fatalf("after %d: error %v, revision %d", after, err, got.Revision)
		}
	}
}

// bigText is about 100 bytes a line, with incompressible digests; line changed differs.
func bigText(lines, changed int) []byte {
	var out bytes.Buffer
	state := uint64(1)
	for i := range lines {
		mark := 0
		if i == changed%max(lines, 1) && changed >= 0 {
			mark = changed
		}
		var digest [4]uint64
		for j := range digest {
			state = state*6364136223846793005 + 1442695040888963407
			digest[j] = state ^ state>>29
		}
		fmt.Fprintf(&out, `{"id":"key-%d-%d","sha256":"%016x%016x%016x%016x"},`, i, mark, digest[0], digest[1], digest[2], digest[3])
	}
	return out.Bytes()
}

func BenchmarkDifference(b *testing.B) {
	for _, lines := range []int{100, 1000, 10000} {
		old, next := Content{Revision: 1, Bytes: bigText(lines, -1)}, Content{Revision: 2, Bytes: bigText(lines, lines/2)}
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

// Guards against differences that are as large as the value once it nears a megabyte, as with encoder tables that
// cover only a part of it.
func TestDifferenceOfOneLineIsSmall(t *testing.T) {
	const limit = 2 << 10 // 3,800 changes a day sent 24 times each stay at 2 KB/s
	for _, lines := range []int{100, 1000, 10000} {
		d, err := Diff(Content{Revision: 1, Bytes: bigText(lines, -1)}, Content{Revision: 2, Bytes: bigText(lines, lines/2)})
		if err != nil {
			t.Fatal(err)
		}
		if len(d.Patch) > limit {
			t.Errorf("one line of %d: the difference has %d bytes, limit %d", lines, len(d.Patch), limit)
		}
	}
}
