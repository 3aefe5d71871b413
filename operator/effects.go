package operator

import (
	"fmt"
	"slices"

	"dogwooddrift.org/drift/document"
)

// Severity ranks an effect by what it takes away.
type Severity string

// The severities of effects. SeverityStops marks effects after which requests that run today are refused.
const (
	SeverityStops   Severity = "stops"
	SeverityReduces Severity = "reduces"
	SeverityAdds    Severity = "adds"
)

// Effect is one thing that a new document does, compared with the one in force.
type Effect struct {
	Severity Severity
	// Field is a path such as "organisations.nordlys.rate".
	Field string
	Text  string
}

// String renders the effect on one line.
func (e Effect) String() string { return fmt.Sprintf("%-7s %s: %s", e.Severity, e.Field, e.Text) }

type effects []Effect

func (l *effects) add(s Severity, field, format string, args ...any) {
	*l = append(*l, Effect{Severity: s, Field: field, Text: fmt.Sprintf(format, args...)})
}

// number reports a changed number; a lower one reduces.
func (l *effects) number(field, unit string, was, is float64) {
	if was == is {
		return
	}
	severity := SeverityAdds
	if is < was {
		severity = SeverityReduces
	}
	l.add(severity, field, "%v becomes %v%s", was, is, unit)
}

// Effects lists what the next document does compared with the one in force, in the order of the document's
// sections. Both documents must be valid.
func Effects(inForce, next *document.Document) []Effect {
	var l effects
	l.revision(inForce, next)
	l.organisations(inForce, next)
	l.services(inForce, next)
	l.zones(inForce, next)
	l.instances(inForce, next)
	l.number("isolation.keyed_limit_s", " s", float64(inForce.Isolation.KeyedLimit), float64(next.Isolation.KeyedLimit))
	l.number("change_window_s", " s", float64(inForce.ChangeWindow), float64(next.ChangeWindow))
	return l
}

func (l *effects) revision(inForce, next *document.Document) {
	switch {
	case !next.Revision.Supersedes(inForce.Revision):
		l.add(SeverityStops, "revision", "%d is not above %d, which is in force: every instance will ignore this document",
			next.Revision, inForce.Revision)
	case next.Revision > inForce.Revision+1:
		l.add(SeverityReduces, "revision", "%d skips revisions after %d, which is in force: another document may be lost",
			next.Revision, inForce.Revision)
	}
}

func (l *effects) organisations(inForce, next *document.Document) {
	for _, was := range inForce.Organisations {
		at := "organisations." + was.Name
		is, ok := next.Organisation(was.Name)
		if !ok {
			l.add(SeverityStops, at, "is removed with %d keys, all its requests are refused", len(was.Keys))
			continue
		}
		l.number(at+".rate", " requests a second", was.Rate, is.Rate)
		l.number(at+".burst", " requests", was.Burst, is.Burst)
		l.number(at+".weight", "", was.Weight, is.Weight)
		if was.IsHost != is.IsHost {
			l.add(SeverityReduces, at+".host", "%v becomes %v, requests on open routes count against another organisation", was.IsHost, is.IsHost)
		}
		l.keys(at, was.Keys, is.Keys)
	}
	for _, is := range next.Organisations {
		if _, ok := inForce.Organisation(is.Name); !ok {
			l.add(SeverityAdds, "organisations."+is.Name, "is new, with %d keys, %v requests a second, burst %v", len(is.Keys), is.Rate, is.Burst)
		}
	}
}

func (l *effects) keys(at string, was, is []document.Key) {
	for _, k := range was {
		if !slices.ContainsFunc(is, func(o document.Key) bool { return o.SHA256 == k.SHA256 }) {
			l.add(SeverityStops, at+".keys."+k.ID, "is withdrawn, requests with it are refused within seconds")
		}
	}
	for _, k := range is {
		if !slices.ContainsFunc(was, func(o document.Key) bool { return o.SHA256 == k.SHA256 }) {
			l.add(SeverityAdds, at+".keys."+k.ID, "is granted")
		}
	}
}

func (l *effects) services(inForce, next *document.Document) {
	for _, was := range inForce.Services {
		at := "services." + was.Name
		is, ok := next.Service(was.Name)
		if !ok {
			l.add(SeverityStops, at, "is removed, all requests to it are refused")
			continue
		}
		if was.KeyOptional && !is.KeyOptional {
			l.add(SeverityStops, at+".open", "closes, requests without a key are refused")
		}
		if !was.KeyOptional && is.KeyOptional {
			l.add(SeverityAdds, at+".open", "opens, requests without a key run and count against the host")
		}
		if was.Sharded != is.Sharded {
			l.add(SeverityStops, at+".sharded", "%v becomes %v, requests of the other kind are refused", was.Sharded, is.Sharded)
		}
		l.number(at+".slots", " requests at a time at each target", float64(was.Slots), float64(is.Slots))
		l.number(at+".connections", " connections at each target", float64(was.MaxConnections), float64(is.MaxConnections))
	}
	for _, is := range next.Services {
		if _, ok := inForce.Service(is.Name); !ok {
			l.add(SeverityAdds, "services."+is.Name, "is new")
		}
	}
}

func (l *effects) zones(inForce, next *document.Document) {
	byName := func(zones []document.Zone, name string) (document.Zone, bool) {
		i := slices.IndexFunc(zones, func(z document.Zone) bool { return z.Name == name })
		if i < 0 {
			return document.Zone{}, false
		}
		return zones[i], true
	}
	for _, was := range inForce.Zones {
		at := "zones." + was.Name
		is, ok := byName(next.Zones, was.Name)
		switch {
		case !ok:
			l.add(SeverityStops, at, "is removed, with %v of every rate", was.RateFraction)
			continue
		case is.OutOfService && !was.OutOfService:
			l.add(SeverityStops, at, "is taken out of service, its targets get no new work after a few seconds")
		case was.OutOfService && !is.OutOfService:
			l.add(SeverityAdds, at, "returns to service")
		}
		l.number(at+".rate_fraction", " of every rate", was.RateFraction, is.RateFraction)
	}
	for _, is := range next.Zones {
		if _, ok := byName(inForce.Zones, is.Name); !ok {
			l.add(SeverityAdds, "zones."+is.Name, "is new, with %v of every rate", is.RateFraction)
		}
	}
}

func (l *effects) instances(inForce, next *document.Document) {
	for _, id := range next.InstancesOutOfService {
		if !inForce.InstanceOutOfService(id) {
			l.add(SeverityStops, "instances_out."+id, "is taken out of service, it gets no new work after a few seconds")
		}
	}
	for _, id := range inForce.InstancesOutOfService {
		if !next.InstanceOutOfService(id) {
			l.add(SeverityAdds, "instances_out."+id, "returns to service")
		}
	}
}
