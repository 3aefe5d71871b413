package document

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// ErrMismatch means that applying a difference does not produce the content that it was computed for, because it was
// computed from other content or is corrupt. The receiver must then fetch the whole value.
var ErrMismatch = errors.New("difference does not match the value")

// MaxContentBytes bounds the size of a published value. It is slightly above the platform's maximum of one megabyte.
const MaxContentBytes = 1<<20 + 1<<16

const (
	// diffWindow is the zstd window size in bytes. A difference contains references into the whole old content while it
	// describes the new one, so the window must cover both.
	diffWindow = 4 << 20
	// diffDictionary is the zstd dictionary ID. A raw dictionary contains no ID, so any fixed number works.
	diffDictionary = 1
)

// Content is a document or an instance list in encoded form, exactly as the platform served it. It is immutable. This
// package does not depend on the encoding.
type Content struct {
	Revision Revision
	Bytes    []byte
}

// Checksum returns the xxHash64 checksum of the encoded bytes.
func (c Content) Checksum() uint64 { return xxhash.Sum64(c.Bytes) }

// Difference is a compressed delta that turns one revision of a content into a later one.
type Difference struct {
	// From is the revision that the difference applies to; 0 means that it contains the whole new content. To is the
	// revision of the new content.
	From, To Revision
	// Checksum is the checksum of the new content.
	Checksum uint64
	// Patch is the new content, compressed with zstd. The old content is the dictionary.
	Patch []byte
}

// Diff returns the difference from old to next. If old is empty, the difference contains the whole of next.
func Diff(old, next Content) (Difference, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false), zstd.WithWindowSize(diffWindow),
		zstd.WithLowerEncoderMem(true),
	}
	if len(old.Bytes) > 0 {
		// The match tables of SpeedFastest do not cover a megabyte: with it, the difference for one changed line was as
		// large as the whole value.
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

// Apply returns the content that results from applying d to old. Errors wrap ErrMismatch.
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
	// maxHistory and maxHistoryBytes bound the number and the total size of the differences that an instance keeps for
	// siblings with an older revision. Applying a longer chain would cost more than decoding the whole value.
	maxHistory      = 64
	maxHistoryBytes = 256 << 10
)

// ContentHistory is the content in force together with the most recent differences that produced it, from which
// siblings with an older revision are brought up to date. It is immutable.
type ContentHistory struct {
	Content
	// Differences form a chain that ends at the content in force, oldest first. It may be empty.
	Differences []Difference
}

// Adopt returns the history after next has come into force. differences is the chain by which next was received; if it
// continues from the current revision to next, the history is extended by it. Otherwise the new history has no
// differences. Only the newest differences within maxHistory and maxHistoryBytes are kept.
func (h ContentHistory) Adopt(next Content, differences []Difference) ContentHistory {
	out := ContentHistory{Content: next}
	reached := h.Revision
	history := h.Differences[:len(h.Differences):len(h.Differences)]
	for _, d := range differences {
		switch {
		case d.From != 0 && reached.Supersedes(d.From):
			continue // already in force
		case d.From == 0 || d.From != reached:
			return out
		}
		history = append(history, d)
		reached = d.To
	}
	if reached != next.Revision {
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

// DifferencesSince returns the chain of differences from revision after to the content in force. It returns nil if the
// content is not newer than after, and one difference with the whole content if the history does not reach back to
// after.
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

// ApplyAll applies a chain of differences, oldest first, to the content in force and returns the result. It skips
// differences that start below the current revision. Errors wrap ErrMismatch.
func (h ContentHistory) ApplyAll(differences []Difference) (Content, error) {
	current := h.Content
	for _, d := range differences {
		if d.From != 0 && current.Revision.Supersedes(d.From) {
			continue // already in force
		}
		next, err := Apply(current, d)
		if err != nil {
			return Content{}, err
		}
		current = next
	}
	return current, nil
}
