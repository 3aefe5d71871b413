package targets

import (
	"fmt"
	"testing"
	"time"
)

var poison = FingerprintOf("s", "poison")

// crash breaks the connections of the running requests at the target and ends its incarnation a second later.
func (q *quarantine) crash(target, incarnation string, now time.Time, running ...Fingerprint) {
	for _, p := range running {
		q.recordBrokenConnection(target, p, now)
	}
	q.recordTargetLost(target, incarnation, now.Add(time.Second))
}

// Guards against a request that crashes one target after another, and against a quarantine after a single crash.
func TestQuarantineAfterTwoCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newQuarantine()
	q.crash("t1", "i1", now, poison, FingerprintOf("s", "innocent"))
	q.recordTargetLost("t1", "i1", now.Add(2*time.Second)) // the same crash, detected again
	if len(q.published) != 0 {
		t.Fatalf("quarantined after one crash: %v", q.published)
	}
	q.crash("t2", "i1", now, poison, FingerprintOf("s", "another"))
	if _, refused := q.published[poison]; !refused || len(q.published) != 1 {
		t.Fatalf("quarantined after two crashes: %v, want only %v", q.published, poison)
	}
	if n := q.takeNotices(); len(n.Crashes) != 2 || len(n.Quarantined) != 1 {
		t.Errorf("notices are %v, want two crashes and a quarantine", n)
	}
	q.tick(now.Add(quarantineTime + 2*time.Second))
	if len(q.published) != 0 {
		t.Errorf("quarantine does not end")
	}
}

// Guards against a caller that evades the quarantine by sending each request to another instance.
func TestQuarantineCountsCrashesOfSiblings(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := newQuarantine(), newQuarantine()
	a.crash("t1", "i1", now, poison)
	if len(a.published) != 0 {
		t.Error("the only running request is quarantined after one crash")
	}
	b.receiveNotices(a.takeNotices(), now)
	b.crash("t2", "i1", now, poison)
	a.receiveNotices(b.takeNotices(), now)
	for name, q := range map[string]*quarantine{"a": a, "b": b} {
		if _, refused := q.published[poison]; !refused {
			t.Errorf("instance %s does not refuse the request", name)
		}
	}
}

// Guards against quarantining innocent requests when many targets fail at once, as in a power failure.
func TestManyRequestsAtCrashesAreNotBlamed(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newQuarantine()
	var running []Fingerprint
	for i := range 10 {
		running = append(running, FingerprintOf("s", fmt.Sprint(i)))
	}
	for i := range 20 {
		q.crash(fmt.Sprintf("t%d", i), "i1", now, running...)
	}
	if len(q.published) != 0 {
		t.Fatalf("%d of 10 requests are refused", len(q.published))
	}
	q.crash("t30", "i1", now, poison)
	q.crash("t31", "i1", now, poison)
	if len(q.published) != 1 {
		t.Fatalf("refused: %v, want the request that crashed two targets alone", q.published)
	}
}

// Guards against counting a broken connection as a crash although the target keeps running.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newQuarantine()
	for _, id := range []string{"t1", "t2", "t3"} {
		q.recordBrokenConnection(id, poison, now)
		q.recordTargetLost(id, "i1", now.Add(lossWindow+time.Second))
	}
	if len(q.published) != 0 {
		t.Fatal("request is refused although its targets were lost long after")
	}
}
