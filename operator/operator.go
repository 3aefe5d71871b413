// Package operator implements the operators' view of the system: the dump of an instance's control state, the editing
// of a document, and the comparison of a new document with the one in force.
//
// The package does no I/O; operatorhttp serves operators over HTTP.
package operator

import (
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/targets"
)

// Dump is a snapshot of an instance's control state. API keys appear only as short hashes.
type Dump struct {
	Instance string    `json:"instance"`
	Zone     string    `json:"zone"`
	TakenAt  time.Time `json:"taken"`
	// Ready is true if the instance is configured, not shutting down and not out of service.
	Ready            bool                 `json:"ready"`
	DocumentRevision document.Revision    `json:"document_revision"`
	ListRevision     document.Revision    `json:"list_revision"`
	Organisations    []OrganisationDump   `json:"organisations"`
	Targets          []targets.TargetDump `json:"targets"`
	Siblings         []SiblingDump        `json:"siblings"`
	// EventsDropped is the number of control events that were discarded because the queue of the control loop was full.
	EventsDropped int64 `json:"events_dropped"`
}

// OrganisationDump is the state of one organisation at this instance. Rate (requests per second) and Burst (requests)
// are the limits for all instances together. TokensSpent and RequestsWithoutToken count since the start of the process;
// a request that finds no token on arrival is refused unless it gets one while it waits.
type OrganisationDump struct {
	Name string `json:"name"`
	// KeyHashes holds "ID:hash" for each API key.
	KeyHashes            []string `json:"keys"`
	Rate                 float64  `json:"rate"`
	Burst                float64  `json:"burst"`
	TokensSpent          int64    `json:"spent"`
	RequestsWithoutToken int64    `json:"refused"`
}

// SiblingDump holds the content of the last heartbeat received from a sibling and when it was received.
type SiblingDump struct {
	ID               string            `json:"id"`
	Zone             string            `json:"zone"`
	DocumentRevision document.Revision `json:"document_revision"`
	ListRevision     document.Revision `json:"list_revision"`
	LastHeartbeat    time.Time         `json:"heard"`
}
