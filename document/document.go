// Package document defines the values that instances read from the platform: the configuration document that
// operators publish, the list of instances, and the routing of forwarded requests. It validates them, decides whether
// a newer revision replaces an older one, and computes the differences between revisions that siblings exchange.
//
// The platform is read-only for instances. The package does no I/O; documenthttp reads and watches the platform.
package document

import "time"

// Revision is the version number of a value that the platform publishes. Revisions of a value only increase; zero
// means that no revision has been read yet.
type Revision uint64

// Supersedes reports whether a value of revision r replaces a value of revision current. Reads of the platform may be
// stale, so an equal or lower revision never replaces a value.
func (r Revision) Supersedes(current Revision) bool { return r > current }

// Document is the configuration that operators publish. It is immutable once Validate has accepted it.
type Document struct {
	Revision      Revision       `json:"revision" yaml:"revision"`
	Organisations []Organisation `json:"organisations" yaml:"organisations"`
	Services      []Service      `json:"services" yaml:"services"`
	Zones         []Zone         `json:"zones" yaml:"zones"`
	// InstancesOutOfService holds the IDs of the instances and targets that take no new work.
	InstancesOutOfService []string  `json:"instances_out,omitempty" yaml:"instances_out"`
	Isolation             Isolation `json:"isolation" yaml:"isolation"`
	// ChangeWindow is how long the outcome of a change request is kept, so that a repeat with the same idempotency key
	// gets that outcome and does not run again.
	ChangeWindow Seconds `json:"change_window_s" yaml:"change_window_s"`
}

// Seconds is a duration that is encoded as a number of seconds.
type Seconds float64

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Organisation is a tenant of the service.
type Organisation struct {
	Name string `json:"name" yaml:"name"`
	// IsHost marks the organisation that operates the deployment. Requests without a key, which only open services
	// accept, count against its limits.
	IsHost bool `json:"host,omitempty" yaml:"host"`
	// Rate is the rate limit in requests per second, over all instances together.
	Rate float64 `json:"rate" yaml:"rate"`
	// Burst is the size of the rate limit's token bucket in requests, over all instances together.
	Burst float64 `json:"burst" yaml:"burst"`
	// Weight is the organisation's share in weighted fair queueing, relative to the other organisations.
	Weight float64 `json:"weight" yaml:"weight"`
	Keys   []Key   `json:"keys,omitempty" yaml:"keys"`
}

// Key is an API key of an organisation. Only its digest is published.
type Key struct {
	// ID is a short name by which operators refer to the key.
	ID string `json:"id" yaml:"id"`
	// SHA256 is the SHA-256 digest of the key in lower-case hexadecimal.
	SHA256 string `json:"sha256" yaml:"sha256"`
}

// Service is a group of targets that serve the same kind of requests.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// Sharded means that the service takes queries, each answered by all of its shards. A service that is not sharded
	// takes changes (requests with side effects), each run by one target.
	Sharded bool `json:"sharded,omitempty" yaml:"sharded"`
	// KeyOptional marks an open service, also called an open route: its requests need no key.
	KeyOptional bool `json:"open,omitempty" yaml:"open"`
	// Slots is the number of requests that one target runs concurrently.
	Slots int `json:"slots" yaml:"slots"`
	// MaxConnections is the number of connections that one target accepts from all instances together.
	MaxConnections int `json:"connections" yaml:"connections"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `json:"name" yaml:"name"`
	// OutOfService means that the instances and targets of the zone get no new work.
	OutOfService bool `json:"out,omitempty" yaml:"out"`
	// RateFraction is the fraction of every organisation's rate and burst that is assigned to the instances of this
	// zone. The fractions of all zones add up to at most 1.
	RateFraction float64 `json:"rate_fraction" yaml:"rate_fraction"`
}

// Isolation configures an isolated instance: one that reaches neither the platform nor siblings in other zones.
type Isolation struct {
	// KeyedLimit is how long an isolated instance continues to serve requests that need a key. After that it serves
	// open services only, since a key may have been withdrawn in the meantime.
	KeyedLimit Seconds `json:"keyed_limit_s" yaml:"keyed_limit_s"`
}

// Organisation returns the organisation with the given name, and false if the document has none.
func (d *Document) Organisation(name string) (Organisation, bool) {
	for _, o := range d.Organisations {
		if o.Name == name {
			return o, true
		}
	}
	return Organisation{}, false
}

// Service returns the service with the given name, and false if the document has none.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// ZoneOutOfService reports whether operators took the zone with the given name out of service.
func (d *Document) ZoneOutOfService(name string) bool {
	for _, z := range d.Zones {
		if z.Name == name {
			return z.OutOfService
		}
	}
	return false
}

// InstanceOutOfService reports whether operators took the instance or target with the given ID out of service.
func (d *Document) InstanceOutOfService(id string) bool {
	for _, outID := range d.InstancesOutOfService {
		if outID == id {
			return true
		}
	}
	return false
}
