// Package operator holds what operators see and decide: the state dump and the effects of a new document.
//
// The package does no I/O; operatorhttp serves operators over HTTP.
package operator

import (
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/targets"
)

// Dump is the control state of one process at one moment. Keys appear only as short hashes.
type Dump struct {
	Instance         string               `json:"instance"`
	Zone             string               `json:"zone"`
	TakenAt          time.Time            `json:"taken"`
	Ready            bool                 `json:"ready"`
	DocumentRevision document.Revision    `json:"document_revision"`
	ListRevision     document.Revision    `json:"list_revision"`
	Organisations    []OrganisationDump   `json:"organisations"`
	Targets          []targets.TargetDump `json:"targets"`
	Siblings         []SiblingDump        `json:"siblings"`
	EventsDropped    int64                `json:"events_dropped"`
}

// OrganisationDump is the state of one organisation at this instance.
type OrganisationDump struct {
	Name                 string   `json:"name"`
	KeyHashes            []string `json:"keys"`
	Rate                 float64  `json:"rate"`
	Burst                float64  `json:"burst"`
	TokensSpent          int64    `json:"spent"`
	RequestsWithoutToken int64    `json:"refused"`
}

// SiblingDump is what this instance last heard from a sibling.
type SiblingDump struct {
	ID               string            `json:"id"`
	Zone             string            `json:"zone"`
	DocumentRevision document.Revision `json:"document_revision"`
	ListRevision     document.Revision `json:"list_revision"`
	LastHeartbeat    time.Time         `json:"heard"`
}
