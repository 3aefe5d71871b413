package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
)

func testDocument(revision document.Revision) *document.Document {
	return &document.Document{
		Revision:      revision,
		Organisations: []document.Organisation{{Name: "host", IsHost: true, Rate: 10, Burst: 10, Weight: 1}},
		Zones:         []document.Zone{{Name: "a", RateFraction: 1}},
		Isolation:     document.Isolation{KeyedLimit: 60},
		ChangeWindow:  60,
	}
}

// Guards against a stale read of the platform that reverts the configuration.
func TestDocumentRevisionsOnlyRise(t *testing.T) {
	s := NewState(Identity{ID: "i", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	s.Step(DocumentRead{Document: testDocument(5)}, now)
	s.Step(DocumentRead{Document: testDocument(4)}, now)
	if got := s.Snapshot().Document.Revision; got != 5 {
		t.Fatalf("revision in force is %d after reading 5 and then 4, want 5", got)
	}
}

// Guards against an invalid document that replaces the one in force.
func TestInvalidDocumentIsRefused(t *testing.T) {
	s := NewState(Identity{ID: "i", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	s.Step(DocumentRead{Document: testDocument(5)}, now)
	bad := testDocument(6)
	bad.Organisations[0].Rate = -1
	ready := s.Step(DocumentRead{Document: bad}, now)
	if got := s.Snapshot().Document.Revision; got != 5 {
		t.Fatalf("revision in force is %d, want 5", got)
	}
	if _, ok := ready.Effects[0].(ValueRejected); !ok {
		t.Fatalf("effects are %v, want ValueRejected", ready.Effects)
	}
}
