// Package document holds the decisions about the platform: the document that operators publish, the list of
// instances, the checks both must pass, and the rule by which a newer revision replaces an older one.
//
// The platform can only be read. The package does no I/O; documenthttp reads and watches.
package document

import "time"

// Revision numbers the values that the platform publishes. It only rises; zero means "none seen yet".
type Revision uint64

// Supersedes reports whether a value of revision r replaces one of revision current. The platform may serve
// stale reads, so an equal or lower revision never replaces a value.
func (r Revision) Supersedes(current Revision) bool { return r > current }

// Document is the configuration that operators publish. It is immutable after Validate accepted it.
type Document struct {
	Revision      Revision       `json:"revision" yaml:"revision"`
	Organisations []Organisation `json:"organisations" yaml:"organisations"`
	Services      []Service      `json:"services" yaml:"services"`
	Zones         []Zone         `json:"zones" yaml:"zones"`
	// InstancesOutOfService names the instances and targets that take no new work.
	InstancesOutOfService []string  `json:"instances_out,omitempty" yaml:"instances_out"`
	Isolation             Isolation `json:"isolation" yaml:"isolation"`
	// ChangeWindow is how long the outcome of a change is remembered for repeats with its idempotency key.
	ChangeWindow Seconds `json:"change_window_s" yaml:"change_window_s"`
}

// Seconds is a duration that is written as a number of seconds.
type Seconds float64

// Duration converts s.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Organisation is a tenant of the service.
type Organisation struct {
	Name string `json:"name" yaml:"name"`
	// IsHost marks the organisation that runs the service. Requests on open routes count against it.
	IsHost bool `json:"host,omitempty" yaml:"host"`
	// Rate is in requests a second, counted over the whole fleet.
	Rate float64 `json:"rate" yaml:"rate"`
	// Burst is in requests, counted over the whole fleet.
	Burst float64 `json:"burst" yaml:"burst"`
	// Weight is the organisation's part in fair queueing, relative to the others.
	Weight float64 `json:"weight" yaml:"weight"`
	Keys   []Key   `json:"keys,omitempty" yaml:"keys"`
}

// Key is a credential of an organisation. Only its digest is published.
type Key struct {
	// ID is a short name for operators.
	ID string `json:"id" yaml:"id"`
	// SHA256 is the lower-case hexadecimal digest of the key.
	SHA256 string `json:"sha256" yaml:"sha256"`
}

// Service is a group of targets that answer the same requests.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// Sharded services answer queries from every shard; the others take changes at one target.
	Sharded bool `json:"sharded,omitempty" yaml:"sharded"`
	// KeyOptional routes need no key.
	KeyOptional bool `json:"open,omitempty" yaml:"open"`
	// Slots is how many requests one target runs at a time.
	Slots int `json:"slots" yaml:"slots"`
	// MaxConnections is how many connections one target accepts, over all instances together.
	MaxConnections int `json:"connections" yaml:"connections"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `json:"name" yaml:"name"`
	// OutOfService of service zones get no new work.
	OutOfService bool `json:"out,omitempty" yaml:"out"`
	// RateFraction is the part of every organisation's rate and burst that this zone's instances own. The
	// fractions of all zones add up to at most 1.
	RateFraction float64 `json:"rate_fraction" yaml:"rate_fraction"`
}

// Isolation says what an instance does that reaches neither the platform nor siblings of other zones.
type Isolation struct {
	// KeyedLimit is how long an isolated instance still serves requests with a key; after that only open
	// routes are served, since a key may have been withdrawn meanwhile.
	KeyedLimit Seconds `json:"keyed_limit_s" yaml:"keyed_limit_s"`
}

// Organisation returns the organisation of that name.
func (d *Document) Organisation(name string) (Organisation, bool) {
	for _, o := range d.Organisations {
		if o.Name == name {
			return o, true
		}
	}
	return Organisation{}, false
}

// Service returns the service of that name.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// ZoneOutOfService reports whether operators took the zone out of service.
func (d *Document) ZoneOutOfService(name string) bool {
	for _, z := range d.Zones {
		if z.Name == name {
			return z.OutOfService
		}
	}
	return false
}

// InstanceOutOfService reports whether operators took the instance or target out of service.
func (d *Document) InstanceOutOfService(id string) bool {
	for _, out := range d.InstancesOutOfService {
		if out == id {
			return true
		}
	}
	return false
}
