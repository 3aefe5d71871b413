package settings

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
)

const docsFolder = "../../../docs/"

// fields returns the dotted names of all leaf fields of a struct type, with names from the given struct tag. A slice is
// written as "name[]".
func fields(t reflect.Type, tag, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + strings.Split(f.Tag.Get(tag), ",")[0]
		ft := f.Type
		if ft.Kind() == reflect.Slice {
			ft, name = ft.Elem(), name+"[]"
		}
		if ft.Kind() == reflect.Struct {
			out = append(out, fields(ft, tag, name+".")...)
			continue
		}
		out = append(out, name)
	}
	return out
}

// documented returns the names of the fields in the tables of a page.
func documented(t *testing.T, file string) []string {
	t.Helper()
	text, err := os.ReadFile(docsFolder + file)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(string(text), -1) {
		out = append(out, m[1])
	}
	return out
}

// assertSame requires that a page describes exactly the fields that exist.
func assertSame(t *testing.T, page string, inDocs, inCode []string) {
	t.Helper()
	for _, f := range inCode {
		if !slices.Contains(inDocs, f) {
			t.Errorf("%s does not describe %q", page, f)
		}
	}
	for _, f := range inDocs {
		if !slices.Contains(inCode, f) {
			t.Errorf("%s describes %q, which does not exist", page, f)
		}
	}
}

// Guards against operators' pages that lack a field or describe a removed one.
func TestPagesMatchTypes(t *testing.T) {
	assertSame(t, "settings.md", documented(t, "settings.md"), fields(reflect.TypeFor[Settings](), "yaml", ""))
	assertSame(t, "document.md", documented(t, "document.md"), fields(reflect.TypeFor[document.Document](), "json", ""))
}

// Guards against example settings that fail validation.
func TestExampleSettings(t *testing.T) {
	if _, err := Load("../../../examples/settings.yaml"); err != nil {
		t.Fatal(err)
	}
}

const valid = `
id: a-0
zone: a
platform: http://127.0.0.1:1
listen: {callers: "127.0.0.1:1", siblings: "127.0.0.1:2", operators: "127.0.0.1:3"}
`

// Guards against accepting settings with a misspelt, missing or malformed field, and against errors that do not name the
// field.
func TestParseRefuses(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown field", valid + "colour: red\n", `unknown field "colour"`},
		{"missing id", strings.Replace(valid, "id: a-0", "", 1), "ID"},
		{"host name", strings.Replace(valid, "127.0.0.1:2", "localhost:2", 1), "Siblings"},
		{"bad level", valid + "log: {level: loud}\n", "Level"},
		{"bad duration", valid + "drain: {notice: soon}\n", "soon"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error is %v, want one that contains %q", err, c.want)
			}
		})
	}
	s, err := Parse([]byte(valid))
	if err != nil || s.Drain.Notice != 2*time.Second {
		t.Fatalf("valid settings give %+v, %v", s, err)
	}
}
