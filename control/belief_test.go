package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// Guards against state changes without a log line, and against state that is logged again although it did not change.
func TestStateChangesAreLoggedOnce(t *testing.T) {
	s := NewState(Identity{ID: "i", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	logged := func(e Event) map[string]LogStateChange {
		now = now.Add(200 * time.Millisecond)
		out := map[string]LogStateChange{}
		for _, effect := range s.Step(e, now).Effects {
			if n, ok := effect.(LogStateChange); ok {
				out[n.Subject] = n
			}
		}
		return out
	}
	d := testDocument(5)
	d.Services = []document.Service{{Name: "s", Slots: 1, MaxConnections: 1}}
	if n := logged(DocumentRead{Document: d}); n[subjectDocument].New != "revision 5" || n[subjectDocument].Source != "platform" {
		t.Errorf("a new document is logged as %+v", n)
	}
	if n := logged(DocumentRead{Document: testDocument(4)}); len(n) != 0 {
		t.Errorf("a stale document is logged as %+v", n)
	}
	list := &document.InstanceList{Revision: 1, Instances: []document.Instance{{
		ID: "t", Kind: document.KindTarget, Service: "s", Zone: "a", Address: "127.0.0.1:1", State: document.StateLive,
	}}}
	if n := logged(InstancesRead{List: list, Source: Source{SiblingID: "b"}}); n[subjectList].Source != "sibling b" {
		t.Errorf("a new list is logged as %+v", n)
	}
	if n := logged(TargetStatusRead{ID: "t", Status: targets.Status{Incarnation: "t/1", State: targets.StateWarm, Slots: 1}}); n[subjectTarget].New != string(targets.PhaseProbation) {
		t.Errorf("a target polled for the first time is logged as %+v", n)
	}
	if n := logged(PlatformReadFailed{Value: sibling.Document}); n[subjectPlatform].New != "lost" {
		t.Errorf("a lost platform is logged as %+v", n)
	}
	if n := logged(PlatformReadFailed{Value: sibling.Document}); len(n) != 0 {
		t.Errorf("a platform that remains lost is logged as %+v", n)
	}
	if n := logged(PlatformUnchanged{Value: sibling.Document, Sent: now}); n[subjectPlatform].New != "reached" {
		t.Errorf("a regained platform is logged as %+v", n)
	}
	if n := logged(Drain{Reply: make(chan struct{}, 1)}); n[subjectInstance].New != "draining" {
		t.Errorf("a planned stop is logged as %+v", n)
	}
	if n := logged(Tick{}); len(n) != 0 {
		t.Errorf("nothing changed, and %+v is logged", n)
	}
}
