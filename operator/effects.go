package operator

import (
	"fmt"
	"slices"

	"dogwooddrift.org/drift/document"
)

// Severity classifies an effect by what it takes away from callers.
type Severity string

// The severities of effects.
const (
	// SeverityStops means that requests which are accepted today will be refused, that an instance, target or zone gets
	// no new work, or that instances ignore the document.
	SeverityStops Severity = "stops"
	// SeverityReduces means that a number becomes lower, that requests count against another organisation, or that a
	// revision is skipped.
	SeverityReduces Severity = "reduces"
	// SeverityAdds means that something is added, granted, raised or returned to service.
	SeverityAdds Severity = "adds"
)

// Effect is one difference between a new document and the one in force, with its consequence.
type Effect struct {
	Severity Severity
	// Field is the path of the changed field, such as "organisations.nordlys.rate".
	Field string
	// Text describes the change and its consequence.
	Text string
}

// String returns the effect as one line of text.
func (e Effect) String() string { return fmt.Sprintf("%-7s %s: %s", e.Severity, e.Field, e.Text) }

type effects []Effect

func (l *effects) add(s Severity, field, format string, args ...any) {
	*l = append(*l, Effect{Severity: s, Field: field, Text: fmt.Sprintf(format, args...)})
}

// number adds an effect if a number differs: SeverityReduces if it becomes lower, else SeverityAdds.
func (l *effects) number(field, unit string, before, after float64) {
	if before == after {
		return
	}
	severity := SeverityAdds
	if after < before {
		severity = SeverityReduces
	}
	l.add(severity, field, "%v becomes %v%s", before, after, unit)
}

// Effects lists the effects of replacing the document in force by next, in the order of the document's sections. Both
// documents must be valid.
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
	for _, before := range inForce.Organisations {
		path := "organisations." + before.Name
		after, ok := next.Organisation(before.Name)
		if !ok {
			l.add(SeverityStops, path, "is removed with %d keys, all its requests are refused", len(before.Keys))
			continue
		}
		l.number(path+".rate", " requests a second", before.Rate, after.Rate)
		l.number(path+".burst", " requests", before.Burst, after.Burst)
		l.number(path+".weight", "", before.Weight, after.Weight)
		if before.IsHost != after.IsHost {
			l.add(SeverityReduces, path+".host", "%v becomes %v, requests on open routes count against another organisation", before.IsHost, after.IsHost)
		}
		l.keys(path, before.Keys, after.Keys)
	}
	for _, after := range next.Organisations {
		if _, ok := inForce.Organisation(after.Name); !ok {
			l.add(SeverityAdds, "organisations."+after.Name, "is new, with %d keys, %v requests a second, burst %v", len(after.Keys), after.Rate, after.Burst)
		}
	}
}

func (l *effects) keys(path string, before, after []document.Key) {
	for _, k := range before {
		if !slices.ContainsFunc(after, func(o document.Key) bool { return o.SHA256 == k.SHA256 }) {
			l.add(SeverityStops, path+".keys."+k.ID, "is withdrawn, requests with it are refused within seconds")
		}
	}
	for _, k := range after {
		if !slices.ContainsFunc(before, func(o document.Key) bool { return o.SHA256 == k.SHA256 }) {
			l.add(SeverityAdds, path+".keys."+k.ID, "is granted")
		}
	}
}

func (l *effects) services(inForce, next *document.Document) {
	for _, before := range inForce.Services {
		path := "services." + before.Name
		after, ok := next.Service(before.Name)
		if !ok {
			l.add(SeverityStops, path, "is removed, all requests to it are refused")
			continue
		}
		if before.KeyOptional && !after.KeyOptional {
			l.add(SeverityStops, path+".open", "closes, requests without a key are refused")
		}
		if !before.KeyOptional && after.KeyOptional {
			l.add(SeverityAdds, path+".open", "opens, requests without a key run and count against the host")
		}
		if before.Sharded != after.Sharded {
			l.add(SeverityStops, path+".sharded", "%v becomes %v, requests of the other kind are refused", before.Sharded, after.Sharded)
		}
		l.number(path+".slots", " requests at a time at each target", float64(before.Slots), float64(after.Slots))
		l.number(path+".connections", " connections at each target", float64(before.MaxConnections), float64(after.MaxConnections))
	}
	for _, after := range next.Services {
		if _, ok := inForce.Service(after.Name); !ok {
			l.add(SeverityAdds, "services."+after.Name, "is new")
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
	for _, before := range inForce.Zones {
		path := "zones." + before.Name
		after, ok := byName(next.Zones, before.Name)
		switch {
		case !ok:
			l.add(SeverityStops, path, "is removed, with %v of every rate", before.RateFraction)
			continue
		case after.OutOfService && !before.OutOfService:
			l.add(SeverityStops, path, "is taken out of service, its targets get no new work after a few seconds")
		case before.OutOfService && !after.OutOfService:
			l.add(SeverityAdds, path, "returns to service")
		}
		l.number(path+".rate_fraction", " of every rate", before.RateFraction, after.RateFraction)
	}
	for _, after := range next.Zones {
		if _, ok := byName(inForce.Zones, after.Name); !ok {
			l.add(SeverityAdds, "zones."+after.Name, "is new, with %v of every rate", after.RateFraction)
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
