package siblinggrpc

import (
	"reflect"
	"testing"
	"time"

	"dogwooddrift.org/drift/sibling/siblinggrpc/siblingpb"
	"dogwooddrift.org/drift/target"
)

// Guards against a part of a notice that is lost on the way, and against a panic on a short fingerprint.
func TestNoticesSurviveEncoding(t *testing.T) {
	p := target.FingerprintOf("s", "text")
	want := target.Notices{
		Warm:        []target.WarmNotice{{Target: "t", Incarnation: "i"}},
		Crashes:     []target.CrashNotice{{Target: "t", Incarnation: "i", Suspects: []target.Fingerprint{p}}},
		Quarantined: []target.QuarantineNotice{{Fingerprint: p, Left: time.Second}},
	}
	if got := decodeNotices(encodeNotices(want)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	short := &siblingpb.Notices{Quarantined: []*siblingpb.QuarantineNotice{{Fingerprint: []byte{1}, LeftMs: 1}}}
	if got := decodeNotices(short); len(got.Quarantined) != 0 {
		t.Errorf("a fingerprint of one byte gives %+v", got)
	}
}
