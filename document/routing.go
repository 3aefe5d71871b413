package document

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// ErrInvalidRouting means that a routing cannot be put in force.
var ErrInvalidRouting = errors.New("the routing cannot be used")

// WeightedService is one of several services that share the requests of a route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route says where the requests of a host below a path prefix go.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Services share the requests by weight. It is empty if Shards is not.
	Services []WeightedService `json:"services,omitempty"`
	// Shards are the services of which each gives a part of the answer.
	Shards []string `json:"shards,omitempty"`
	// TopRecords is how many of the greatest records an answer from shards has.
	TopRecords int `json:"records,omitempty"`
	// MinCoverage is the least part of the shards that an answer must contain, from 0 to 1.
	MinCoverage float64 `json:"min_coverage,omitempty"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// MaxAttempts is how many targets of one service a request may be sent to.
	MaxAttempts int `json:"attempts"`
	// Timeout is how long a request may stay without a final answer.
	Timeout time.Duration `json:"timeout"`
	// LatencyObjective is the latency within which an answer is worth most to its caller.
	LatencyObjective time.Duration `json:"objective"`
	// Priority ranks routes, 0 first.
	Priority int `json:"priority,omitempty"`
	// KeyOptional routes need no key.
	KeyOptional bool `json:"open,omitempty"`
	// Regions are the regions whose targets may run the requests, all if empty.
	Regions []string `json:"regions,omitempty"`
}

// Sharded reports whether an answer is put together from shards.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// AllowsService reports whether a request of the route may run at the service.
func (r *Route) AllowsService(service string) bool {
	if r.Sharded() {
		return slices.Contains(r.Shards, service)
	}
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service })
}

// AllowsRegion reports whether targets of a region may run requests of the route for an organisation, nil if nobody.
func (r *Route) AllowsRegion(a *Account, region string) bool {
	allowed := func(regions []string) bool { return len(regions) == 0 || slices.Contains(regions, region) }
	return allowed(r.Regions) && (a == nil || allowed(a.Regions))
}

// PickService returns the service for a request. at is a number from 0 to 1; numbers spread evenly give each service its
// weight. It returns "" for routes with shards or without weight.
func (r *Route) PickService(at float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	at *= total
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if n := len(r.Services); n > 0 && total > 0 {
		return r.Services[n-1].Service
	}
	return ""
}

// Account is an organisation on the routed interface.
type Account struct {
	Organisation
	// Priority replaces that of the route if it is set.
	Priority *int `json:"priority,omitempty"`
	// Regions are the regions whose targets may run the organisation's requests, all if empty.
	Regions []string `json:"regions,omitempty"`
}

// RoutedService is a service that routes name.
type RoutedService struct {
	Name string `json:"name"`
	// HealthPath is the path of a target's health check.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is how many connections one target accepts, over all instances together.
	MaxConnections int `json:"connections,omitempty"`
	// ColdRate is how many requests a second a cold target tolerates, over all instances together; 0 means no
	// limit.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// ColdTime is how long a target is cold after its start.
	ColdTime time.Duration `json:"cold_time,omitempty"`
}

// CallerLimits bounds what callers may send.
type CallerLimits struct {
	// MaxHeaderBytes and BodyBytes bound the size of a request; 0 means no limit.
	MaxHeaderBytes int `json:"header_bytes,omitempty"`
	MaxBodyBytes   int `json:"body_bytes,omitempty"`
	// HeaderTimeout is how long a caller may take to send a header, IdleTimeout how long a connection may be idle.
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle_timeout,omitempty"`
}

// Routing is the operators' configuration of forwarded requests. It is immutable after Index.
type Routing struct {
	Version  Revision        `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []RoutedService `json:"services"`
	Accounts []Account       `json:"accounts,omitempty"`
	Limits   CallerLimits    `json:"limits"`

	byHost   map[string][]*Route // longest prefix first
	services map[string]*RoutedService
	byDigest map[string]*Account
}

// Index checks the routing and makes it ready for use. Errors wrap ErrRouting.
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
	for i := range r.Accounts {
		for _, k := range r.Accounts[i].Keys {
			r.byDigest[k.SHA256] = &r.Accounts[i]
		}
	}
	return nil
}

func (r *Route) check() error {
	switch {
	case r.Sharded() == (len(r.Services) > 0):
		return errors.New("it needs either services or shards")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.New("the prefix must begin and end with a slash")
	case math.IsNaN(r.MinCoverage) || r.MinCoverage < 0 || r.MinCoverage > 1:
		return errors.New("the least coverage must lie between 0 and 1")
	case r.Timeout < 0 || r.LatencyObjective < 0 || r.MaxAttempts < 0 || r.TopRecords < 0:
		return errors.New("negative figures")
	}
	for _, s := range r.Services {
		if !(s.Weight >= 0) || math.IsInf(s.Weight, 0) {
			return errors.New("a weight must be a number of at least 0")
		}
	}
	return nil
}

// Match returns the route of the host with the longest prefix that begins the path, nil if there is none.
func (r *Routing) Match(host, path string) *Route {
	for _, route := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service of that name, nil if there is none.
func (r *Routing) Service(name string) *RoutedService { return r.services[name] }

// AccountByKeyDigest returns the organisation that holds the key with this digest, nil if there is none.
func (r *Routing) AccountByKeyDigest(digest string) *Account { return r.byDigest[digest] }

// RequiresKeys reports whether requests on routes that are not open need a key.
func (r *Routing) RequiresKeys() bool { return len(r.Accounts) > 0 }
