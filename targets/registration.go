package targets

import "time"

// Registration is what the platform's list says of one target.
type Registration struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address is an IP number with a port. It may have belonged to a target of another service before.
	Address string `json:"address"`
	// Slots is how many requests the target runs at a time.
	Slots int `json:"slots"`
	// Draining targets finish what they have and take nothing new.
	Draining bool `json:"draining,omitempty"`
	// Incarnation tells the runs of a target that keeps its ID apart.
	Incarnation string `json:"incarnation,omitempty"`
	// ColdFor is how long the target stayed cold from when the entry was written.
	ColdFor time.Duration `json:"cold_for,omitempty"`
}
