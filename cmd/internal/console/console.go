// Package console serves the operators' console: HTML forms that edit a draft of the document. Its only output is
// the validated document as a download. The draft is kept in memory and nothing is written to disk or sent elsewhere.
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
	// keyBytes is the length of a generated key before encoding; 32 random bytes cannot be guessed.
	keyBytes = 32
	// maxFormBytes is the maximum size of a request body.
	maxFormBytes = 64 << 10
)

// ErrStaleForm is returned if the draft was changed after the page with the form was rendered.
var ErrStaleForm = errors.New("the draft was changed meanwhile; look at it and send the form again")

// Console is the HTTP handler for the forms of one draft. It is safe for concurrent use.
type Console struct {
	handler http.Handler

	mu    sync.Mutex
	draft *operator.Draft
	// version counts the edits of the draft. A form contains the version that it was rendered for and is refused
	// if the draft has changed since, so that an operator does not overwrite another operator's edit unseen.
	version int
}

// New returns a console whose draft starts as a copy of the document in force, or empty if inForce is nil.
func New(inForce *document.Document) *Console {
	c := &Console{draft: operator.NewDraft(inForce)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) { c.renderPage(w, http.StatusOK, page{}) })
	mux.HandleFunc("GET /document.json", c.handleDownload)
	for path, edit := range c.editHandlers() {
		mux.HandleFunc("POST "+path, c.handleEdit(edit))
	}
	c.handler = http.NewCrossOriginProtection().Handler(http.MaxBytesHandler(mux, maxFormBytes))
	return c
}

// ServeHTTP serves the console's page, forms and download, with headers that forbid caching, scripts and framing.
func (c *Console) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	c.handler.ServeHTTP(w, r)
}

// handleEdit returns a handler that applies an edit to the draft and renders the page with the result or error.
func (c *Console) handleEdit(edit func(f form, p *page) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := r.ParseForm(); err != nil {
			c.renderPage(w, http.StatusBadRequest, page{Problem: err.Error()})
			return
		}
		f := form{values: r.PostForm}
		var p page
		err := c.applyEdit(f, &p, edit)
		if err != nil {
			c.renderPage(w, http.StatusUnprocessableEntity, page{Problem: err.Error()})
			return
		}
		c.renderPage(w, http.StatusOK, p)
	}
}

// applyEdit applies an edit to the draft and increments the version. It returns ErrStaleForm if the form's version
// is not the current one.
func (c *Console) applyEdit(f form, p *page, edit func(f form, p *page) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.values.Get("version") != strconv.Itoa(c.version) {
		return ErrStaleForm
	}
	if err := edit(f, p); err != nil {
		return err
	}
	c.version++
	return nil
}

// editHandlers returns the edit functions by form path. They run while c.mu is held.
func (c *Console) editHandlers() map[string]func(f form, p *page) error {
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

// grantKey generates a key, passes it to the page that is rendered next, and stores only its digest in the draft.
func (c *Console) grantKey(f form, p *page) error {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never returns an error
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

// handleDownload sends the document as a file if it is valid, or else the page, which lists the invalid fields.
func (c *Console) handleDownload(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	doc, err := c.draft.Document()
	c.mu.Unlock()
	if err != nil {
		c.renderPage(w, http.StatusUnprocessableEntity, page{Problem: "The draft has faults and cannot be downloaded yet."})
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
