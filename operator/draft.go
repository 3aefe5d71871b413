package operator

import (
	"errors"
	"fmt"
	"slices"

	"dogwooddrift.org/drift/document"
)

// ErrUnknown means that an edit refers to an entry that the draft does not contain.
var ErrUnknown = errors.New("not in the document")

// ErrExists means that an edit adds an entry that the draft already contains.
var ErrExists = errors.New("already in the document")

// Draft is a document that an operator is editing. A failed edit leaves the draft unchanged. Edits are not validated;
// Document validates the result.
type Draft struct {
	base document.Document // the document that the draft started from
	doc  document.Document // the edited document
}

// NewDraft returns a draft that starts as a copy of the document in force, or empty if inForce is nil.
func NewDraft(inForce *document.Document) *Draft {
	d := &Draft{}
	if inForce != nil {
		d.base, d.doc = copyDocument(*inForce), copyDocument(*inForce)
	}
	return d
}

func copyDocument(d document.Document) document.Document {
	d.Organisations = slices.Clone(d.Organisations)
	for i := range d.Organisations {
		d.Organisations[i].Keys = slices.Clone(d.Organisations[i].Keys)
	}
	d.Services = slices.Clone(d.Services)
	d.Zones = slices.Clone(d.Zones)
	d.InstancesOutOfService = slices.Clone(d.InstancesOutOfService)
	return d
}

// Current returns a copy of the draft, valid or not. Its revision is that under which it would be published: one above
// the document that the draft started from.
func (d *Draft) Current() document.Document {
	out := copyDocument(d.doc)
	out.Revision = d.base.Revision + 1
	return out
}

// Document returns the document to publish, or a *document.InvalidError.
func (d *Draft) Document() (*document.Document, error) {
	out := d.Current()
	if err := out.Validate(); err != nil {
		return nil, err
	}
	return &out, nil
}

// Effects lists the effects of publishing the draft, compared with the document that it started from.
func (d *Draft) Effects() []Effect {
	next := d.Current()
	return Effects(&d.base, &next)
}

// PutOrganisation adds an organisation without keys, or replaces an existing one and preserves its keys.
func (d *Draft) PutOrganisation(o document.Organisation) {
	if existing := d.organisation(o.Name); existing != nil {
		o.Keys = existing.Keys
		*existing = o
		return
	}
	o.Keys = nil
	d.doc.Organisations = append(d.doc.Organisations, o)
}

// RemoveOrganisation removes an organisation and its keys.
func (d *Draft) RemoveOrganisation(name string) error {
	return remove(&d.doc.Organisations, "organisation", name, func(o document.Organisation) string { return o.Name })
}

// GrantKey adds a key to an organisation.
func (d *Draft) GrantKey(organisation string, key document.Key) error {
	o := d.organisation(organisation)
	if o == nil {
		return fmt.Errorf("organisation %q: %w", organisation, ErrUnknown)
	}
	if slices.ContainsFunc(o.Keys, func(k document.Key) bool { return k.ID == key.ID }) {
		return fmt.Errorf("key %q of organisation %q: %w", key.ID, organisation, ErrExists)
	}
	o.Keys = append(o.Keys, key)
	return nil
}

// WithdrawKey removes the key with the given ID from an organisation.
func (d *Draft) WithdrawKey(organisation, id string) error {
	o := d.organisation(organisation)
	if o == nil {
		return fmt.Errorf("organisation %q: %w", organisation, ErrUnknown)
	}
	return remove(&o.Keys, "key", id, func(k document.Key) string { return k.ID })
}

// PutService adds or replaces a service.
func (d *Draft) PutService(s document.Service) {
	put(&d.doc.Services, s, func(s document.Service) string { return s.Name })
}

// RemoveService removes a service.
func (d *Draft) RemoveService(name string) error {
	return remove(&d.doc.Services, "service", name, func(s document.Service) string { return s.Name })
}

// PutZone adds or replaces an availability zone.
func (d *Draft) PutZone(z document.Zone) {
	put(&d.doc.Zones, z, func(z document.Zone) string { return z.Name })
}

// RemoveZone removes an availability zone.
func (d *Draft) RemoveZone(name string) error {
	return remove(&d.doc.Zones, "zone", name, func(z document.Zone) string { return z.Name })
}

// TakeInstanceOutOfService marks an instance or target as out of service; it then gets no new work.
func (d *Draft) TakeInstanceOutOfService(id string) {
	if !slices.Contains(d.doc.InstancesOutOfService, id) {
		d.doc.InstancesOutOfService = append(d.doc.InstancesOutOfService, id)
	}
}

// ReturnInstanceToService marks an instance or target as in service again.
func (d *Draft) ReturnInstanceToService(id string) error {
	return remove(&d.doc.InstancesOutOfService, "instance", id, func(id string) string { return id })
}

// SetLimits sets the isolation settings and the change window, which apply to the whole deployment.
func (d *Draft) SetLimits(isolation document.Isolation, changeWindow document.Seconds) {
	d.doc.Isolation, d.doc.ChangeWindow = isolation, changeWindow
}

// organisation returns the organisation with the given name for editing, or nil if there is none.
func (d *Draft) organisation(name string) *document.Organisation {
	for i := range d.doc.Organisations {
		if d.doc.Organisations[i].Name == name {
			return &d.doc.Organisations[i]
		}
	}
	return nil
}

// put replaces the list element with the same name as value, or appends value.
func put[T any](list *[]T, value T, name func(T) string) {
	for i := range *list {
		if name((*list)[i]) == name(value) {
			(*list)[i] = value
			return
		}
	}
	*list = append(*list, value)
}

// remove removes the list element with the given name. kind names the kind of element in the error, which wraps
// ErrUnknown.
func remove[T any](list *[]T, kind, wanted string, name func(T) string) error {
	i := slices.IndexFunc(*list, func(v T) bool { return name(v) == wanted })
	if i < 0 {
		return fmt.Errorf("%s %q: %w", kind, wanted, ErrUnknown)
	}
	*list = slices.Delete(*list, i, i+1)
	return nil
}
