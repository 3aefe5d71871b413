package caller

import (
	"os"
	"strings"
	"testing"

	"dogwooddrift.org/drift/document"
)

// Guards against refusal codes that the documentation for callers does not describe.
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

// Guards against requests that run for an organisation other than the one of their key.
func TestIdentify(t *testing.T) {
	index := NewOrganisationIndex(&document.Document{Organisations: []document.Organisation{
		{Name: "host", IsHost: true},
		{Name: "bakers", Keys: []document.Key{{ID: "k", SHA256: Digest("secret")}}},
	}})
	keyOptional, keyRequired := document.Service{Name: "o", KeyOptional: true}, document.Service{Name: "c"}
	for _, c := range []struct {
		name    string
		service document.Service
		key     string
		want    string
		code    Code
	}{
		{"valid key", keyRequired, "secret", "bakers", ""},
		{"valid key, optional", keyOptional, "secret", "bakers", ""},
		{"no key, optional", keyOptional, "", "host", ""},
		{"no key", keyRequired, "", "", CodeUnauthenticated},
		{"withdrawn key", keyRequired, "old", "", CodeUnauthenticated},
		{"withdrawn key, optional", keyOptional, "old", "", CodeUnauthenticated},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, refusal := index.Identify(c.service, c.key)
			switch {
			case refusal != nil && (refusal.Code != c.code || refusal.Ran != RanNo):
				t.Fatalf("refusal is %v, want code %q", refusal, c.code)
			case refusal == nil && (c.code != "" || o.Name != c.want):
				t.Fatalf("organisation is %q, want %q", o.Name, c.want)
			}
		})
	}
}
