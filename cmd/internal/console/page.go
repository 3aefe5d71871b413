package console

import (
	"embed"
	"errors"
	"html/template"
	"net/http"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/operator"
)

//go:embed page.html
var templateFiles embed.FS

var pageTemplate = template.Must(template.New("page.html").
	Funcs(template.FuncMap{"short": caller.ShortHash}).
	ParseFS(templateFiles, "page.html"))

// newKey is a generated key in plain text.
type newKey struct {
	Organisation string
	ID           string
	Key          string
}

// page is the data of the page template.
type page struct {
	Version  int
	Document document.Document
	Faults   []document.FieldError
	Effects  []operator.Effect
	Problem  string
	// NewKey is set only on the page that replies to the request that generated the key.
	NewKey *newKey
}

// renderPage renders the page with the current draft, its validation errors and its effects, and with the Problem
// and NewKey of p.
func (c *Console) renderPage(w http.ResponseWriter, status int, p page) {
	c.mu.Lock()
	p.Version, p.Document, p.Effects = c.version, c.draft.Current(), c.draft.Effects()
	c.mu.Unlock()
	var invalid *document.InvalidError
	if errors.As(p.Document.Validate(), &invalid) {
		p.Faults = invalid.FieldErrors
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	_ = pageTemplate.Execute(w, p)
}
