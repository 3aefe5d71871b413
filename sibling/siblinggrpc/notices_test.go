package siblinggrpc

import (
	"reflect"
	"testing"
	"time"

	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
	"dogwooddrift.org/drift/targets"
)

// Guards against a part of a notice that is lost in encoding, and against a panic on a short fingerprint.
func TestNoticesSurviveEncoding(t *testing.T) {
	p := targets.FingerprintOf("s", "text")
	want := targets.Notices{
		Warm:        []targets.WarmNotice{{Target: "t", Incarnation: "i"}},
		Crashes:     []targets.CrashNotice{{Target: "t", Incarnation: "i", Suspects: []targets.Fingerprint{p}}},
		Quarantined: []targets.QuarantineNotice{{Fingerprint: p, Remaining: time.Second}},
	}
	if got := decodeNotices(encodeNotices(want)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	short := &siblingpb.Notices{Quarantined: []*siblingpb.QuarantineNotice{{Fingerprint: []byte{1}, LeftMs: 1}}}
	if got := decodeNotices(short); len(got.Quarantined) != 0 {
		t.Errorf("a fingerprint of one byte gives %+v", got)
	}
}
