package target

import (
	"time"

	"dogwooddrift.org/drift/platform"
)

// Fleet is the control state about targets. It belongs to the control goroutine.
type Fleet struct {
	targets map[string]*tracked
	tails   map[string]*Tail // by service
	policy  Policy
}

type tracked struct {
	instance platform.Instance
	out      bool
	slots    int
	status   *Status
	seen     time.Time
	gauge    *Gauge
}

// NewFleet returns a fleet that knows no targets.
func NewFleet(policy Policy) *Fleet {
	return &Fleet{targets: map[string]*tracked{}, tails: map[string]*Tail{}, policy: policy}
}

// Configure takes the document and the list in force. It returns the targets to start polling and the IDs of
// those to stop polling.
func (f *Fleet) Configure(doc *platform.Document, list *platform.InstanceList) (added []platform.Instance, removed []string) {
	listed := map[string]bool{}
	for _, in := range list.Targets() {
		service, ok := doc.Service(in.Service)
		if !ok {
			continue
		}
		listed[in.ID] = true
		t := f.targets[in.ID]
		if t == nil || t.instance.Address != in.Address {
			t = &tracked{gauge: &Gauge{}}
			f.targets[in.ID] = t
			added = append(added, in)
		}
		t.instance = in
		t.slots = service.Slots
		t.out = in.State == platform.StateLeaving || doc.InstanceOut(in.ID) || doc.ZoneOut(in.Zone)
	}
	for id := range f.targets {
		if !listed[id] {
			delete(f.targets, id)
			removed = append(removed, id)
		}
	}
	return added, removed
}

// Observe takes a target's own report.
func (f *Fleet) Observe(id string, status Status, now time.Time) {
	t := f.targets[id]
	if t == nil {
		return
	}
	t.status, t.seen = &status, now
}

// Lost notes that a target did not report. Its last report stays in use, since a report that fails does not
// prove that requests fail.
func (f *Fleet) Lost(id string, now time.Time) {}

// View builds the view of all usable targets.
func (f *Fleet) View() View {
	usable := map[string][]Usable{}
	for id, t := range f.targets {
		if t.out || t.status == nil || t.status.State == StateDraining {
			continue
		}
		name := t.instance.Service
		usable[name] = append(usable[name], Usable{
			Target: &Target{
				ID:          id,
				Service:     name,
				Zone:        t.instance.Zone,
				Address:     t.instance.Address,
				Incarnation: t.status.Incarnation,
				Limit:       t.slots,
				Load:        t.status.Load,
				Gauge:       t.gauge,
			},
			Status: *t.status,
		})
	}
	view := View{}
	for name, list := range usable {
		view[name] = BuildServiceView(name, f.tail(name), list)
	}
	return view
}

func (f *Fleet) tail(service string) *Tail {
	t := f.tails[service]
	if t == nil {
		t = NewTail(f.policy)
		f.tails[service] = t
	}
	return t
}

// TargetDump is the state of one target in a dump.
type TargetDump struct {
	ID          string        `json:"id"`
	Service     string        `json:"service"`
	Zone        string        `json:"zone"`
	Out         bool          `json:"out"`
	Reported    State         `json:"reported_state"`
	Incarnation string        `json:"incarnation"`
	Outstanding int           `json:"outstanding"`
	Latency     time.Duration `json:"latency_ns"`
	Seen        time.Time     `json:"last_report"`
}

// Dump returns the state of every target.
func (f *Fleet) Dump() []TargetDump {
	out := make([]TargetDump, 0, len(f.targets))
	for id, t := range f.targets {
		d := TargetDump{
			ID: id, Service: t.instance.Service, Zone: t.instance.Zone, Out: t.out,
			Outstanding: t.gauge.Outstanding(), Latency: t.gauge.Latency(), Seen: t.seen,
		}
		if t.status != nil {
			d.Reported, d.Incarnation = t.status.State, t.status.Incarnation
		}
		out = append(out, d)
	}
	return out
}
