package traffic

import (
	"testing"
	"time"
)

// The load pattern "wide": a request to many targets on an instance with a small part of a core, which needs longer to
// send than the targets to reply. Guards against hedges of sends that are late by this instance's doing, which double its
// work.
func TestHedgesWaitForTheInstanceItself(t *testing.T) {
	p := &routeStats{}
	if p.expectedDispatchLag() != 0 {
		t.Errorf("an instance that has sent nothing expects a lag of %v", p.expectedDispatchLag())
	}
	const sends, each = 90, 300 * time.Microsecond
	for range 3 {
		for i := range sends {
			p.observeDispatchLag(time.Duration(i) * each)
		}
	}
	if own := p.expectedDispatchLag(); own < sends*each/2 || own > 2*sends*each {
		t.Errorf("the last send leaves after %v, the lag is taken as %v", sends*each, own)
	}
	for range 200 {
		p.observeDispatchLag(50 * time.Microsecond)
	}
	if own := p.expectedDispatchLag(); own > time.Millisecond {
		t.Errorf("sends leave at once again, the lag is taken as %v", own)
	}
}
