package traffic

import (
	"testing"
	"time"
)

// Guards against hedged requests that are triggered by this instance's lag delay and double its work. An instance with a
// fraction of a core needs longer to send a request to many targets than the targets need to reply.
func TestHedgeDelayIncludesTheDispatchLag(t *testing.T) {
	stats := &routeStats{}
	if stats.expectedDispatchLag() != 0 {
		t.Errorf("expected dispatch lag before the first send is %v", stats.expectedDispatchLag())
	}
	const sends, each = 90, 300 * time.Microsecond
	for range 3 {
		for i := range sends {
			stats.observeDispatchLag(time.Duration(i) * each)
		}
	}
	if lag := stats.expectedDispatchLag(); lag < sends*each/2 || lag > 2*sends*each {
		t.Errorf("the last send leaves after %v, the expected dispatch lag is %v", sends*each, lag)
	}
	for range 200 {
		stats.observeDispatchLag(50 * time.Microsecond)
	}
	if lag := stats.expectedDispatchLag(); lag > time.Millisecond {
		t.Errorf("sends leave immediately again, the expected dispatch lag is %v", lag)
	}
}
