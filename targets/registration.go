package targets

import "time"

// Registration is the entry of a target in the list of the platform.
type Registration struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address is an IP address and port. A target of another service may have used it before.
	Address string `json:"address"`
	// Slots is how many requests the target runs concurrently.
	Slots int `json:"slots"`
	// Draining targets finish their requests and accept no new ones.
	Draining bool `json:"draining,omitempty"`
	// Incarnation distinguishes successive processes of a target with the same ID.
	Incarnation string `json:"incarnation,omitempty"`
	// ColdFor is how long the target remains cold, from the time at which the entry was written.
	ColdFor time.Duration `json:"cold_for,omitempty"`
}
