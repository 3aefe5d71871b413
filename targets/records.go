package targets

import (
	"bytes"
	"slices"
	"sort"
)

// RecordSize is the size of a record in the part of a shard, in bytes.
const RecordSize = 16

// maxSelected is the number of records up to which they are selected while they are read. More are sorted.
const maxSelected = 128

// GreatestRecords returns the n greatest records of the parts, greatest first, compared byte by byte; equal records
// all count. Bytes at the end of a part that are too few for a record are left out. All are returned if n is 0.
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

// selectRecords keeps the n greatest records that were read so far in order, greatest first.
func selectRecords(parts [][]byte, n int) []byte {
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
