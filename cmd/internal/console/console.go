// Package console serves the operators' console: forms that edit a draft and whose only output is one validated
// document to download. It keeps the draft in memory and writes nothing anywhere.
package console

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/operator"
)

const (
	// keyBytes is the length of a new key before encoding; 32 random bytes cannot be guessed.
	keyBytes = 32
	// maxFormBytes bounds the body of a form.
	maxFormBytes = 64 << 10
)

// ErrStaleForm means that the draft was changed after the form was shown.
var ErrStaleForm = errors.New("the draft was changed meanwhile; look at it and send the form again")

// Console serves the forms for one draft. It is safe for concurrent use.
type Console struct {
	handler http.Handler

	mu    sync.Mutex
	draft *operator.Draft
	// version counts edits. A form carries the version it was shown for, so that of two operators who edit the
	// same draft the second one sees the first one's edit before overwriting it.
	version int
}

// New returns a console whose draft starts from the document in force, or from an empty one when that is nil.
func New(inForce *document.Document) *Console {
	c := &Console{draft: operator.NewDraft(inForce)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) { c.show(w, http.StatusOK, page{}) })
	mux.HandleFunc("GET /document.json", c.download)
	for path, edit := range c.edits() {
		mux.HandleFunc("POST "+path, c.edit(edit))
	}
	c.handler = http.NewCrossOriginProtection().Handler(http.MaxBytesHandler(mux, maxFormBytes))
	return c
}

// ServeHTTP serves the console.
func (c *Console) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	c.handler.ServeHTTP(w, r)
}

// edit returns a handler that applies an edit to the draft and shows the page again.
func (c *Console) edit(apply func(f form, p *page) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := r.ParseForm(); err != nil {
			c.show(w, http.StatusBadRequest, page{Problem: err.Error()})
			return
		}
		f := form{values: r.PostForm}
		var p page
		err := c.apply(f, &p, apply)
		if err != nil {
			c.show(w, http.StatusUnprocessableEntity, page{Problem: err.Error()})
			return
		}
		c.show(w, http.StatusOK, p)
	}
}

func (c *Console) apply(f form, p *page, apply func(f form, p *page) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.values.Get("version") != strconv.Itoa(c.version) {
		return ErrStaleForm
	}
	if err := apply(f, p); err != nil {
		return err
	}
	c.version++
	return nil
}

func (c *Console) edits() map[string]func(f form, p *page) error {
	return map[string]func(f form, p *page) error{
		"/organisations":        c.putOrganisation,
		"/organisations/remove": func(f form, _ *page) error { return c.draft.RemoveOrganisation(f.text("name")) },
		"/keys":                 c.grantKey,
		"/keys/withdraw":        func(f form, _ *page) error { return c.draft.WithdrawKey(f.text("organisation"), f.text("id")) },
		"/services":             c.putService,
		"/services/remove":      func(f form, _ *page) error { return c.draft.RemoveService(f.text("name")) },
		"/zones":                c.putZone,
		"/zones/remove":         func(f form, _ *page) error { return c.draft.RemoveZone(f.text("name")) },
		"/instances/out":        func(f form, _ *page) error { c.draft.TakeInstanceOutOfService(f.text("id")); return nil },
		"/instances/return":     func(f form, _ *page) error { return c.draft.ReturnInstanceToService(f.text("id")) },
		"/limits":               c.setLimits,
	}
}

func (c *Console) putOrganisation(f form, _ *page) error {
	o := document.Organisation{
		Name: f.text("name"), IsHost: f.checked("host"),
		Rate: f.number("rate"), Burst: f.number("burst"), Weight: f.number("weight"),
	}
	if f.err == nil {
		c.draft.PutOrganisation(o)
	}
	return f.err
}

// grantKey makes a new key, shows it once and keeps only its digest.
func (c *Console) grantKey(f form, p *page) error {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // never fails, see crypto/rand
	key := base64.RawURLEncoding.EncodeToString(raw)
	organisation, id := f.text("organisation"), f.text("id")
	if err := c.draft.GrantKey(organisation, document.Key{ID: id, SHA256: caller.Digest(key)}); err != nil {
		return err
	}
	p.NewKey = &newKey{Organisation: organisation, ID: id, Key: key}
	return nil
}

func (c *Console) putService(f form, _ *page) error {
	s := document.Service{
		Name: f.text("name"), Sharded: f.checked("sharded"), KeyOptional: f.checked("open"),
		Slots: f.integer("slots"), MaxConnections: f.integer("connections"),
	}
	if f.err == nil {
		c.draft.PutService(s)
	}
	return f.err
}

func (c *Console) putZone(f form, _ *page) error {
	z := document.Zone{Name: f.text("name"), OutOfService: f.checked("out"), RateFraction: f.number("rate_fraction")}
	if f.err == nil {
		c.draft.PutZone(z)
	}
	return f.err
}

func (c *Console) setLimits(f form, _ *page) error {
	isolation := document.Isolation{KeyedLimit: document.Seconds(f.number("keyed_limit_s"))}
	window := document.Seconds(f.number("change_window_s"))
	if f.err == nil {
		c.draft.SetLimits(isolation, window)
	}
	return f.err
}

// download sends the validated document, or the page with its faults.
func (c *Console) download(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	doc, err := c.draft.Document()
	c.mu.Unlock()
	if err != nil {
		c.show(w, http.StatusUnprocessableEntity, page{Problem: "The draft has faults and cannot be downloaded yet."})
		return
	}
	body, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Disposition", fmt.Sprintf("attachment; filename=document-%d.json", doc.Revision))
	_, _ = w.Write(append(body, '\n'))
}
