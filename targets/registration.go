package targets

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode/utf8"
)

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
	// Sequence rises with each entry that the incarnation writes.
	Sequence uint64 `json:"sequence,omitempty"`
	// ColdFor is how long the target remains cold, from the time at which the entry was written.
	ColdFor time.Duration `json:"cold_for,omitempty"`
}

// Precedes reports whether the target wrote r before o. The list may carry out a write late, after a later one. Entries of
// different incarnations are not compared: the clock of a target may jump.
func (r *Registration) Precedes(o *Registration) bool {
	return o != nil && r.Incarnation == o.Incarnation && r.Sequence < o.Sequence
}

// ErrInvalidRegistration means that a registration names no target that could get requests.
var ErrInvalidRegistration = errors.New("invalid target registration")

const (
	// maxSlots exceeds the number of slots of every real target.
	maxSlots = 1 << 16
	// maxNameBytes bounds the ID, service, zone and incarnation.
	maxNameBytes = 256
)

// Validate checks a registration. Errors wrap ErrInvalidRegistration.
func (r *Registration) Validate() error {
	for what, name := range map[string]string{"ID": r.ID, "service": r.Service, "zone": r.Zone} {
		if !validName(name) {
			return fmt.Errorf("%w: %s is missing, too long or contains control characters", ErrInvalidRegistration, what)
		}
	}
	address, err := netip.ParseAddrPort(r.Address)
	switch {
	case err != nil, address.Port() == 0, address.Addr().IsUnspecified(), address.Addr().IsMulticast():
		return fmt.Errorf("%w: the address is not an IP address with a port", ErrInvalidRegistration)
	case r.Slots < 1 || r.Slots > maxSlots:
		return fmt.Errorf("%w: number of slots out of range", ErrInvalidRegistration)
	case r.ColdFor < 0:
		return fmt.Errorf("%w: negative warm-up time", ErrInvalidRegistration)
	case r.Incarnation != "" && !validName(r.Incarnation):
		return fmt.Errorf("%w: incarnation is too long or contains control characters", ErrInvalidRegistration)
	}
	return nil
}

// validName reports whether a name can stand in a header field of a request: anything else could forge further fields.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name) &&
		!strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c == 0x7f })
}
