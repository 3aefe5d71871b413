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

// post submits a form like a browser that shows the console's own page.
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

// fillDraft builds a valid draft through the forms and returns the generated key that the page showed.
func fillDraft(t *testing.T, c *Console) string {
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
			t.Fatalf("%s replied with status %d: %s", s.path, w.Code, w.Body)
		}
		if m := regexp.MustCompile(`shown only now: <code>([^<]+)</code>`).FindStringSubmatch(w.Body.String()); m != nil {
			key = m[1]
		}
	}
	return key
}

// Guards against a downloaded document that instances refuse as invalid, and against disclosure of a generated key
// by the document or a later page.
func TestFormsMakeValidDocument(t *testing.T) {
	c := New(nil)
	if w := get(c, "/document.json"); w.Code != http.StatusUnprocessableEntity {
		t.Fatalf("download of an empty draft replied with status %d, want 422", w.Code)
	}
	key := fillDraft(t, c)
	w := get(c, "/document.json")
	var doc document.Document
	if err := json.Unmarshal(w.Body.Bytes(), &doc); err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(); err != nil {
		t.Fatal(err)
	}
	if got := doc.Organisations[0].Keys[0].SHA256; got != caller.Digest(key) {
		t.Fatalf("document has digest %s, want the digest of the key shown", got)
	}
	for _, path := range []string{"/", "/document.json"} {
		if strings.Contains(get(c, path).Body.String(), key) {
			t.Errorf("%s shows the key again", path)
		}
	}
}

// Guards against an operator overwriting another operator's edit without having seen it.
func TestStaleFormIsRefused(t *testing.T) {
	c := New(nil)
	fillDraft(t, c)
	w := post(t, c, "/zones", url.Values{"version": {"0"}, "name": {"koege"}, "rate_fraction": {"1"}})
	if w.Code != http.StatusUnprocessableEntity || !strings.Contains(w.Body.String(), "changed meanwhile") {
		t.Fatalf("stale form: status %d or no message that the draft changed, want 422 and the message", w.Code)
	}
}

// Guards against cross-site request forgery: another site submits a form through the operator's browser.
func TestCrossOriginFormIsRefused(t *testing.T) {
	c := New(nil)
	r := httptest.NewRequest(http.MethodPost, "/zones", strings.NewReader("version=0&name=koege&rate_fraction=1"))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	r.Header.Set("Sec-Fetch-Site", "cross-site")
	w := httptest.NewRecorder()
	c.ServeHTTP(w, r)
	if w.Code != http.StatusForbidden {
		t.Fatalf("cross-origin form: status %d, want 403", w.Code)
	}
}

// Guards against a zone that cannot be taken out of service, and against unintended changes of the page.
func TestZoneOutPage(t *testing.T) {
	c := New(nil)
	key := fillDraft(t, c)
	w := post(t, c, "/zones", url.Values{"version": {"5"}, "name": {"koege"}, "rate_fraction": {"0.5"}, "out": {"on"}})
	if w.Code != http.StatusOK {
		t.Fatalf("taking the zone out of service: status %d, want 200", w.Code)
	}
	body := strings.ReplaceAll(w.Body.String(), caller.ShortHash(caller.Digest(key)), "DIGEST")
	goldie.New(t).Assert(t, "zone_out", []byte(body))
}
