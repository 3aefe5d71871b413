package targets

import (
	"bytes"
	"slices"
	"sort"
)

// RecordSize is the size in bytes of a record in a shard's part of an answer.
const RecordSize = 16

// maxSelected is the largest number of records that are selected during reading. For larger numbers, all records are
// sorted.
const maxSelected = 128

// GreatestRecords returns the n greatest records of all parts in descending order, compared bytewise, including
// duplicates. It ignores trailing bytes of a part that are too few for a record. If n is 0, it returns all records.
func GreatestRecords(parts [][]byte, n int) []byte {
	if n > 0 && n <= maxSelected {
		return selectRecords(parts, n)
	}
	var records [][]byte
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			records = append(records, p[:RecordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if n > 0 && len(records) > n {
		records = records[:n]
	}
	return bytes.Join(records, nil)
}

// selectRecords is GreatestRecords for a small n. It keeps the n greatest records read so far in descending order.
func selectRecords(parts [][]byte, n int) []byte {
	total := 0
	for _, p := range parts {
		total += len(p) / RecordSize
	}
	// The answer must not take more memory than the parts, whose memory is counted.
	n = min(n, total)
	out := make([]byte, 0, n*RecordSize)
	at := func(i int) []byte { return out[i*RecordSize : (i+1)*RecordSize] }
	count := 0
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			record := p[:RecordSize]
			if count == n && bytes.Compare(record, at(n-1)) <= 0 {
				continue
			}
			place := sort.Search(count, func(i int) bool { return bytes.Compare(at(i), record) < 0 })
			if count < n {
				count++
				out = out[:count*RecordSize]
			}
			copy(out[(place+1)*RecordSize:], out[place*RecordSize:(count-1)*RecordSize])
			copy(at(place), record)
		}
	}
	return out
}
