package targets

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in the part of a shard, in bytes.
const RecordSize = 16

// GreatestRecords returns the n greatest records of the parts, greatest first, compared byte by byte; equal records
// all count. Bytes at the end of a part that are too few for a record are left out. All are returned if n is 0.
func GreatestRecords(parts [][]byte, n int) []byte {
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
