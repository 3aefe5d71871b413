package document

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
	"unicode"
)

// ErrInvalidRouting means that a routing configuration failed validation and must not come into force.
var ErrInvalidRouting = errors.New("invalid routing configuration")

// WeightedService is a service that gets a share of a route's requests in proportion to Weight.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route defines how requests for a host and path prefix are forwarded.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Services receive the requests in proportion to their weights, each request one of them. Exactly one of Services
	// and Shards is empty.
	Services []WeightedService `json:"services,omitempty"`
	// Shards are the services that each request is sent to; each returns one part of the answer.
	Shards []string `json:"shards,omitempty"`
	// TopRecords is how many records an answer gathered from shards contains: the greatest of all parts. 0 means all
	// records.
	TopRecords int `json:"records,omitempty"`
	// MinCoverage is the minimum fraction of the shards, from 0 to 1, whose parts an answer must contain.
	MinCoverage float64 `json:"min_coverage,omitempty"`
	// Idempotent means that a request may safely run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// MaxAttempts is the maximum number of targets of one service that a request may be sent to.
	MaxAttempts int `json:"attempts"`
	// Timeout bounds the time from the arrival of a request to its final answer; 0 means that only the caller's deadline
	// applies.
	Timeout time.Duration `json:"timeout"`
	// LatencyObjective is the latency within which an answer has its full value to the caller; 0 means that the request's
	// deadline is the objective.
	LatencyObjective time.Duration `json:"objective"`
	// Priority ranks the routes; 0 ranks first.
	Priority int `json:"priority,omitempty"`
	// KeyOptional marks an open route: its requests need no key.
	KeyOptional bool `json:"open,omitempty"`
	// Regions are the regions whose targets may run the requests; empty means all regions.
	Regions []string `json:"regions,omitempty"`
}

// Sharded reports whether answers on the route are gathered from shards.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// AllowsService reports whether a request on the route may be sent to the service.
func (r *Route) AllowsService(service string) bool {
	if r.Sharded() {
		return slices.Contains(r.Shards, service)
	}
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service })
}

// AllowsRegion reports whether targets in a region may run requests on the route for an organisation. a is nil for a
// request without a known organisation.
func (r *Route) AllowsRegion(a *Account, region string) bool {
	allowed := func(regions []string) bool { return len(regions) == 0 || slices.Contains(regions, region) }
	return allowed(r.Regions) && (a == nil || allowed(a.Regions))
}

// PickService returns the service for a request. point is a number in [0, 1), usually random; uniformly distributed
// numbers select each service in proportion to its weight. It returns "" for a sharded route and if all weights are 0.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	if n := len(r.Services); n > 0 && total > 0 {
		return r.Services[n-1].Service
	}
	return ""
}

// Account is an organisation in the routing configuration. A Rate of 0 means that it has no rate limit.
type Account struct {
	Organisation
	// Priority overrides the priority of the route unless it is nil.
	Priority *int `json:"priority,omitempty"`
	// Regions are the regions whose targets may run the organisation's requests; empty means all regions.
	Regions []string `json:"regions,omitempty"`
}

// RoutedService is a service that routes refer to by name.
type RoutedService struct {
	Name string `json:"name"`
	// HealthPath is the URL path of a target's health check.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is the number of connections that one target accepts from all instances together.
	MaxConnections int `json:"connections,omitempty"`
	// ColdRate is the rate, in requests per second from all instances together, that a cold target tolerates; 0 means
	// no limit.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// ColdTime is the warm-up period after a target's start, during which it counts as cold.
	ColdTime time.Duration `json:"cold_time,omitempty"`
}

// CallerLimits bounds the size of callers' requests and the time that callers may take.
type CallerLimits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the header and the body of a request; 0 means that no limit is configured.
	MaxHeaderBytes int `json:"header_bytes,omitempty"`
	MaxBodyBytes   int `json:"body_bytes,omitempty"`
	// HeaderTimeout bounds the time that a caller takes to send a request header, IdleTimeout the time that a
	// connection is idle.
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle_timeout,omitempty"`
}

// Routing is the operators' configuration for forwarding requests. Its lookup methods work only after Index, after
// which it is immutable.
type Routing struct {
	Version  Revision        `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []RoutedService `json:"services"`
	Accounts []Account       `json:"accounts,omitempty"`
	Limits   CallerLimits    `json:"limits"`

	byHost   map[string][]*Route // longest prefix first
	services map[string]*RoutedService
	byDigest map[string]*Account
	// priorities are those of all routes and organisations, servicePriorities those of the requests that may be sent to a
	// service, each in ascending order.
	priorities        []int
	servicePriorities map[string][]int
}

// Index validates the routes and builds the indexes that the lookup methods use. Errors wrap ErrInvalidRouting.
func (r *Routing) Index() error {
	r.byHost = map[string][]*Route{}
	r.services = map[string]*RoutedService{}
	r.byDigest = map[string]*Account{}
	for i := range r.Services {
		r.services[r.Services[i].Name] = &r.Services[i]
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		if err := route.check(); err != nil {
			return fmt.Errorf("%w: route %q: %w", ErrInvalidRouting, route.Name, err)
		}
		host := strings.ToLower(route.Host)
		r.byHost[host] = append(r.byHost[host], route)
	}
	for _, routes := range r.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range r.Services {
		if s := &r.Services[i]; !validAmount(s.ColdRate) || s.MaxConnections < 0 || s.ColdTime < 0 {
			return fmt.Errorf("%w: service %.100q: connections, cold rate and cold time must be finite and not negative", ErrInvalidRouting, s.Name)
		}
	}
	for i := range r.Accounts {
		a := &r.Accounts[i]
		if !validAmount(a.Rate) || !validAmount(a.Burst) {
			return fmt.Errorf("%w: organisation %.100q: rate and burst must be finite and not negative", ErrInvalidRouting, a.Name)
		}
		if strings.ContainsFunc(a.Name, unicode.IsControl) {
			// The name stands in a header field of requests to targets.
			return fmt.Errorf("%w: organisation %.100q: control character in the name", ErrInvalidRouting, a.Name)
		}
		for _, k := range r.Accounts[i].Keys {
			r.byDigest[k.SHA256] = &r.Accounts[i]
		}
	}
	r.indexPriorities()
	return nil
}

// validAmount reports whether x is finite and not negative.
func validAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// check validates the route.
func (r *Route) check() error {
	switch {
	case r.Sharded() == (len(r.Services) > 0):
		return errors.New("exactly one of services and shards must be set")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.New("path prefix must begin and end with a slash")
	case math.IsNaN(r.MinCoverage) || r.MinCoverage < 0 || r.MinCoverage > 1:
		return errors.New("minimum coverage must be between 0 and 1")
	case r.Timeout < 0 || r.LatencyObjective < 0 || r.MaxAttempts < 0 || r.TopRecords < 0:
		return errors.New("timeout, latency objective, attempts and number of records must not be negative")
	}
	for _, s := range r.Services {
		if !validAmount(s.Weight) {
			return errors.New("service weights must be finite and at least 0")
		}
	}
	return nil
}

// Match returns the route for the host whose prefix is the longest one that matches path, or nil if none matches.
func (r *Routing) Match(host, path string) *Route {
	for _, route := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if there is none.
func (r *Routing) Service(name string) *RoutedService { return r.services[name] }

// AccountByKeyDigest returns the organisation that owns the key with the given digest, or nil if there is none.
func (r *Routing) AccountByKeyDigest(digest string) *Account { return r.byDigest[digest] }

// AccountByName returns the organisation with the given name, or nil if there is none.
func (r *Routing) AccountByName(name string) *Account {
	for i := range r.Accounts {
		if r.Accounts[i].Name == name {
			return &r.Accounts[i]
		}
	}
	return nil
}

// RequiresKeys reports whether requests on routes that are not open need a key. Without any accounts, keys are not
// checked.
func (r *Routing) RequiresKeys() bool { return len(r.Accounts) > 0 }
