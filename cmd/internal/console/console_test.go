package console

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
)

// post sends a form as a browser on the console's own page does.
func post(t *testing.T, c *Console, path string, values url.Values) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(values.Encode()))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	r.Header.Set("Sec-Fetch-Site", "same-origin")
	w := httptest.NewRecorder()
	c.ServeHTTP(w, r)
	return w
}

func get(c *Console, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	c.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

// fill builds a valid draft through the forms and returns the key that the console showed.
func fill(t *testing.T, c *Console) string {
	t.Helper()
	var key string
	steps := []struct {
		path   string
		values url.Values
	}{
		{"/organisations", url.Values{"name": {"nordlys"}, "host": {"on"}, "rate": {"100"}, "burst": {"200"}, "weight": {"1"}}},
		{"/keys", url.Values{"organisation": {"nordlys"}, "id": {"app"}}},
		{"/services", url.Values{"name": {"shopfront"}, "sharded": {"on"}, "slots": {"2"}, "connections": {"25"}}},
		{"/zones", url.Values{"name": {"koege"}, "rate_fraction": {"0.5"}}},
		{"/limits", url.Values{"keyed_limit_s": {"60"}, "change_window_s": {"600"}}},
	}
	for i, s := range steps {
		s.values.Set("version", string(rune('0'+i)))
		w := post(t, c, s.path, s.values)
		if w.Code != http.StatusOK {
			t.Fatalf("%s answered %d: %s", s.path, w.Code, w.Body)
		}
		if m := regexp.MustCompile(`shown only now: <code>([^<]+)</code>`).FindStringSubmatch(w.Body.String()); m != nil {
			key = m[1]
		}
	}
	return key
}

// Guards against a console whose document instances refuse, and against one that gives the key away.
func TestFormsMakeValidDocument(t *testing.T) {
	c := New(nil)
	if w := get(c, "/document.json"); w.Code != http.StatusUnprocessableEntity {
		t.Fatalf("an empty draft can be downloaded, status %d", w.Code)
	}
	key := fill(t, c)
	w := get(c, "/document.json")
	var doc document.Document
	if err := json.Unmarshal(w.Body.Bytes(), &doc); err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(); err != nil {
		t.Fatal(err)
	}
	if got := doc.Organisations[0].Keys[0].SHA256; got != caller.Digest(key) {
		t.Fatalf("document has digest %s, want that of the key shown", got)
	}
	for _, path := range []string{"/", "/document.json"} {
		if strings.Contains(get(c, path).Body.String(), key) {
			t.Errorf("%s shows the key again", path)
		}
	}
}

// Guards against an operator who overwrites the edit of another without having seen it.
func TestStaleFormIsRefused(t *testing.T) {
	c := New(nil)
	fill(t, c)
	w := post(t, c, "/zones", url.Values{"version": {"0"}, "name": {"koege"}, "rate_fraction": {"1"}})
	if w.Code != http.StatusUnprocessableEntity || !strings.Contains(w.Body.String(), "changed meanwhile") {
		t.Fatalf("stale form answered %d", w.Code)
	}
}

// Guards against another site that sends forms with the operator's browser.
func TestCrossOriginFormIsRefused(t *testing.T) {
	c := New(nil)
	r := httptest.NewRequest(http.MethodPost, "/zones", strings.NewReader("version=0&name=koege&rate_fraction=1"))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	r.Header.Set("Sec-Fetch-Site", "cross-site")
	w := httptest.NewRecorder()
	c.ServeHTTP(w, r)
	if w.Code != http.StatusForbidden {
		t.Fatalf("cross-origin form answered %d, want 403", w.Code)
	}
}

// Guards against a zone that cannot be taken out, and against unintended changes of the page.
func TestZoneOutPage(t *testing.T) {
	c := New(nil)
	key := fill(t, c)
	w := post(t, c, "/zones", url.Values{"version": {"5"}, "name": {"koege"}, "rate_fraction": {"0.5"}, "out": {"on"}})
	if w.Code != http.StatusOK {
		t.Fatalf("answered %d", w.Code)
	}
	body := strings.ReplaceAll(w.Body.String(), caller.ShortHash(caller.Digest(key)), "DIGEST")
	goldie.New(t).Assert(t, "zone_out", []byte(body))
}
