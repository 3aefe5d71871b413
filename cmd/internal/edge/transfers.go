package edge

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// loggedTransferTime is the time of a transfer of values from a sibling from which it is logged: it is late by a gossip round.
const loggedTransferTime = 250 * time.Millisecond

// transferLog counts the transfers of values from siblings, and says once a second whether any of them failed or took long. It is
// safe for concurrent use.
type transferLog struct {
	mu    sync.Mutex
	since transferCounts // since the last report
	bytes tally.Counter
}

// transferCounts describes the transfers of some time.
type transferCounts struct {
	ended, failed, bytes int
	longest              time.Duration
	lastError            error
}

// record counts a transfer that brought a number of encoded bytes, or failed.
func (l *transferLog) record(bytes int, took time.Duration, err error) {
	l.bytes.Inc(int64(bytes))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since.ended++
	l.since.bytes += bytes
	l.since.longest = max(l.since.longest, took)
	if err != nil {
		l.since.failed++
		l.since.lastError = err
	}
}

// take returns the counts since its last call.
func (l *transferLog) take() transferCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.since
	l.since = transferCounts{}
	return counts
}

// reportTransfers sets the gauges of the transfers since the last call, and logs them if one failed or took long.
func (n *Node) reportTransfers() {
	c := n.transfers.take()
	n.metrics.Scope.Gauge(metricTransferTime).Update(c.longest.Seconds())
	if c.failed > 0 || c.longest >= loggedTransferTime {
		n.log.Warn().Err(c.lastError).Int("transfers", c.ended).Int("failed", c.failed).Int("bytes", c.bytes).
			Int64("longest_ms", c.longest.Milliseconds()).Msg("values: transfers slow")
	}
}
