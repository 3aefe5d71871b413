package document

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// ErrMismatch means that a difference does not lead to the value it was made for, because it was made from
// another value or was damaged. The whole value is needed then.
var ErrMismatch = errors.New("difference does not match the value")

// MaxContentBytes is a little above the largest value that the platform holds, one megabyte.
const MaxContentBytes = 1<<20 + 1<<16

const (
	// A difference refers back over the whole old value while it describes the new one, so the window covers
	// two values.
	diffWindow = 4 << 20
	// Raw dictionaries carry no number of their own. Any fixed number serves.
	diffDictionary = 1
)

// Content is the published text of a document or a list, as the platform served it. It is immutable. How it
// encodes a value is not known here.
type Content struct {
	Revision Revision
	Bytes    []byte
}

// Checksum returns the checksum of the content.
func (c Content) Checksum() uint64 { return xxhash.Sum64(c.Bytes) }

// Difference leads from one content to the next one.
type Difference struct {
	// From is the revision it applies to; 0 means that the difference holds the whole new content.
	From, To Revision
	// Checksum is the checksum of the new content.
	Checksum uint64
	// Patch is the new content, compressed by zstd with the old one as its dictionary.
	Patch []byte
}

// Diff returns the difference from old to next. With a zero old it holds the whole of next, compressed.
func Diff(old, next Content) (Difference, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false), zstd.WithWindowSize(diffWindow),
		zstd.WithLowerEncoderMem(true),
	}
	if len(old.Bytes) > 0 {
		// The tables of SpeedFastest are too small to find one changed line in a megabyte: its difference was the
		// whole value.
		options = append(options, zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithEncoderDictRaw(diffDictionary, old.Bytes))
	} else {
		options = append(options, zstd.WithEncoderLevel(zstd.SpeedFastest))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return Difference{}, fmt.Errorf("difference from %d to %d: %w", old.Revision, next.Revision, err)
	}
	defer func() { _ = encoder.Close() }()
	d := Difference{To: next.Revision, Checksum: next.Checksum()}
	if len(old.Bytes) > 0 {
		d.From = old.Revision
	}
	d.Patch = bytes.Clone(encoder.EncodeAll(next.Bytes, nil))
	return d, nil
}

// Apply returns the content that d leads to, or ErrMismatch.
func Apply(old Content, d Difference) (Content, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxContentBytes), zstd.WithDecoderMaxWindow(diffWindow),
	}
	if d.From != 0 {
		if d.From != old.Revision {
			return Content{}, fmt.Errorf("%w: it applies to revision %d, not to %d", ErrMismatch, d.From, old.Revision)
		}
		options = append(options, zstd.WithDecoderDictRaw(diffDictionary, old.Bytes))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return Content{}, fmt.Errorf("%w: %w", ErrMismatch, err)
	}
	defer decoder.Close()
	text, err := decoder.DecodeAll(d.Patch, nil)
	if err != nil {
		return Content{}, fmt.Errorf("%w: revision %d: %w", ErrMismatch, d.To, err)
	}
	next := Content{Revision: d.To, Bytes: text}
	if next.Checksum() != d.Checksum {
		return Content{}, fmt.Errorf("%w: revision %d has checksum %x, want %x", ErrMismatch, d.To, next.Checksum(), d.Checksum)
	}
	return next, nil
}

const (
	// maxHistory and maxHistoryBytes bound the differences that an instance keeps for siblings that are behind.
	// A longer chain would cost more to apply than the whole value.
	maxHistory      = 64
	maxHistoryBytes = 256 << 10
)

// ContentHistory is the content in force and the differences that led to it, oldest first. It is immutable.
type ContentHistory struct {
	Content
	Differences []Difference
}

// Adopt returns what is held after next came into force. The differences, which may be empty, led to it.
func (h ContentHistory) Adopt(next Content, differences []Difference) ContentHistory {
	out := ContentHistory{Content: next}
	at := h.Revision
	history := h.Differences[:len(h.Differences):len(h.Differences)]
	for _, d := range differences {
		switch {
		case d.From != 0 && at.Supersedes(d.From):
			continue // came into force meanwhile
		case d.From == 0 || d.From != at:
			return out
		}
		history = append(history, d)
		at = d.To
	}
	if at != next.Revision {
		return out
	}
	total := 0
	for i := len(history) - 1; i >= 0; i-- {
		total += len(history[i].Patch)
		if total > maxHistoryBytes || len(history)-i > maxHistory {
			history = append([]Difference(nil), history[i+1:]...)
			break
		}
	}
	out.Differences = history
	return out
}

// DifferencesSince returns the differences that lead from the revision to the content in force: none if there is nothing
// newer, and the whole content if the history does not reach back to the revision.
func (h ContentHistory) DifferencesSince(after Revision) ([]Difference, error) {
	if !h.Revision.Supersedes(after) {
		return nil, nil
	}
	for i, d := range h.Differences {
		if after != 0 && d.From == after {
			return h.Differences[i:], nil
		}
	}
	whole, err := Diff(Content{}, h.Content)
	if err != nil {
		return nil, err
	}
	return []Difference{whole}, nil
}

// ApplyAll applies differences in turn to the content held.
func (h ContentHistory) ApplyAll(differences []Difference) (Content, error) {
	current := h.Content
	for _, d := range differences {
		if d.From != 0 && current.Revision.Supersedes(d.From) {
			continue // came into force meanwhile
		}
		next, err := Apply(current, d)
		if err != nil {
			return Content{}, err
		}
		current = next
	}
	return current, nil
}
