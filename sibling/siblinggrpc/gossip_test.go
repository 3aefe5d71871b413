package siblinggrpc

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// Guards against member states and changes that differ after encoding and decoding.
func TestExchangeSurvivesTheWire(t *testing.T) {
	sent := routing.GossipMessage{
		MemberStates: []sibling.MemberState{
			{ID: "a", Zone: "z", Address: "10.0.0.1:1", Generation: 7, Sequence: 9, CompleteTo: 12, PlatformAge: 20 * time.Millisecond,
				Demand: map[string]float64{"o": 1.5, "p": 2}},
			{ID: "b", Zone: "y", Address: "10.0.0.2:1", Leaving: true, PlatformAge: sibling.NoContact, Demand: map[string]float64{"q": 0.25}},
		},
		Update: routing.Update{FromRevision: 3, ToRevision: 12, Full: true, Changes: []routing.Change{
			{Kind: routing.KindTarget, Name: "i-1", Revision: 5, Target: &targets.Registration{ID: "i-1", Service: "s", Slots: 2, Draining: true}},
			{Kind: routing.KindZoneOut, Name: "z", Revision: 6, Removed: true},
			{Kind: routing.KindTarget, Name: "i-2", Revision: 7},
		}},
		Notices: targets.Notices{Crashes: []targets.CrashNotice{{Target: "i-1", Suspects: []targets.Fingerprint{{1}}}}},
	}
	m, err := encodeGossipMessage(sent)
	if err != nil {
		t.Fatal(err)
	}
	text, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(text, m); err != nil {
		t.Fatal(err)
	}
	got, err := decodeGossipMessage(m)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, sent) {
		t.Errorf("got  %+v\nwant %+v", got, sent)
	}
}

// Guards against a message with an unusable routing that is applied in part.
func TestExchangeWithUnusableRoutingIsRefused(t *testing.T) {
	m, err := encodeGossipMessage(routing.GossipMessage{Update: routing.Update{ToRevision: 3, Changes: []routing.Change{
		{Kind: routing.KindRouting, Revision: 3, Routing: &document.Routing{Routes: []document.Route{{Prefix: "x"}}}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeGossipMessage(m); err == nil {
		t.Error("an unusable routing was accepted")
	}
}
