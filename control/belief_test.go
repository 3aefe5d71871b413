package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// Guards against beliefs that change without a line in the log, or that are noted again and again.
func TestChangedBeliefsAreNotedOnce(t *testing.T) {
	s := NewState(Identity{ID: "i", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	notes := func(e Event) map[string]LogStateChange {
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
	if n := notes(DocumentRead{Document: d}); n[subjectDocument].New != "revision 5" || n[subjectDocument].Source != "platform" {
		t.Errorf("a new document is noted as %+v", n)
	}
	if n := notes(DocumentRead{Document: testDocument(4)}); len(n) != 0 {
		t.Errorf("a stale document is noted as %+v", n)
	}
	list := &document.InstanceList{Revision: 1, Instances: []document.Instance{{
		ID: "t", Kind: document.KindTarget, Service: "s", Zone: "a", Address: "127.0.0.1:1", State: document.StateLive,
	}}}
	if n := notes(InstancesRead{List: list, Source: Source{SiblingID: "b"}}); n[subjectList].Source != "sibling b" {
		t.Errorf("a new list is noted as %+v", n)
	}
	if n := notes(TargetStatusRead{ID: "t", Status: targets.Status{Incarnation: "t/1", State: targets.StateWarm, Slots: 1}}); n[subjectTarget].New != string(targets.PhaseProbation) {
		t.Errorf("a target seen for the first time is noted as %+v", n)
	}
	if n := notes(PlatformReadFailed{Value: sibling.Document}); n[subjectPlatform].New != "lost" {
		t.Errorf("a lost platform is noted as %+v", n)
	}
	if n := notes(PlatformReadFailed{Value: sibling.Document}); len(n) != 0 {
		t.Errorf("a platform that stays lost is noted as %+v", n)
	}
	if n := notes(PlatformUnchanged{Value: sibling.Document, Sent: now}); n[subjectPlatform].New != "reached" {
		t.Errorf("a regained platform is noted as %+v", n)
	}
	if n := notes(Drain{Reply: make(chan struct{}, 1)}); n[subjectInstance].New != "draining" {
		t.Errorf("a stop is noted as %+v", n)
	}
	if n := notes(Tick{}); len(n) != 0 {
		t.Errorf("nothing changed, and %+v is noted", n)
	}
}
