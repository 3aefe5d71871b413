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
var files embed.FS

var pageTemplate = template.Must(template.New("page.html").
	Funcs(template.FuncMap{"short": caller.ShortHash}).
	ParseFS(files, "page.html"))

type newKey struct {
	Organisation string
	ID           string
	Key          string
}

// page is what the template shows.
type page struct {
	Version  int
	Document document.Document
	Faults   []document.FieldError
	Effects  []operator.Effect
	Problem  string
	// NewKey is set on the one page that shows a key just made.
	NewKey *newKey
}

// show renders the draft as it stands, with what p carries besides.
func (c *Console) show(w http.ResponseWriter, status int, p page) {
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
