package caller

import (
	"os"
	"strings"
	"testing"

	"dogwooddrift.org/drift/document"
)

// Guards against a page for callers that misses a refusal code.
func TestRefusalsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/refusals.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []Code{
		CodeBadRequest, CodeUnauthenticated, CodeForbidden, CodeUnknownService, CodeRateLimited, CodeOverloaded,
		CodeDraining, CodeNotConfigured, CodeIsolated, CodeDeadline, CodeNoTarget, CodeQuarantined,
		CodeHomeUnreachable, CodeDuplicate, CodeOutcomeUnknown, CodeInternal,
	} {
		if !strings.Contains(string(page), "| `"+string(c)+"` |") {
			t.Errorf("refusals.md does not describe %q", c)
		}
	}
}

// Guards against a request that runs for another organisation than that of its key.
func TestIdentify(t *testing.T) {
	a := NewOrganisationIndex(&document.Document{Organisations: []document.Organisation{
		{Name: "host", IsHost: true},
		{Name: "bakers", Keys: []document.Key{{ID: "k", SHA256: Digest("secret")}}},
	}})
	open, closed := document.Service{Name: "o", KeyOptional: true}, document.Service{Name: "c"}
	for _, c := range []struct {
		name    string
		service document.Service
		key     string
		want    string
		code    Code
	}{
		{"valid key", closed, "secret", "bakers", ""},
		{"valid key on an open route", open, "secret", "bakers", ""},
		{"no key on an open route", open, "", "host", ""},
		{"no key", closed, "", "", CodeUnauthenticated},
		{"withdrawn key", closed, "old", "", CodeUnauthenticated},
		{"withdrawn key on an open route", open, "old", "", CodeUnauthenticated},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, refusal := a.Identify(c.service, c.key)
			switch {
			case refusal != nil && (refusal.Code != c.code || refusal.Ran != RanNo):
				t.Fatalf("refusal is %v, want code %q", refusal, c.code)
			case refusal == nil && (c.code != "" || o.Name != c.want):
				t.Fatalf("organisation is %q, want %q", o.Name, c.want)
			}
		})
	}
}
