// Package caller holds the decisions about callers: who a request runs for, whether it is admitted, and what a
// refusal says.
//
// The package does no I/O and reads no clock; callerhttp serves callers over HTTP.
package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"dogwooddrift.org/drift/document"
)

// Code names the reason of a refusal. Codes are stable.
type Code string

// The codes of refusals.
const (
	CodeBadRequest      Code = "bad_request"
	CodeUnauthenticated Code = "unauthenticated"
	CodeForbidden       Code = "forbidden"
	CodeUnknownService  Code = "unknown_service"
	CodeRateLimited     Code = "rate_limited"
	CodeOverloaded      Code = "overloaded"
	CodeDraining        Code = "draining"
	CodeNotConfigured   Code = "not_configured"
	CodeIsolated        Code = "isolated"
	CodeDeadline        Code = "deadline"
	CodeNoTarget        Code = "no_target"
	CodeQuarantined     Code = "quarantined"
	CodeHomeUnreachable Code = "home_unreachable"
	CodeDuplicate       Code = "duplicate"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	CodeInternal        Code = "internal"
)

// Ran says whether a refused request ran at a target.
type Ran string

// The values of Ran. RanNo is used only where it is certain.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Refusal is the error of this layer: a request that got no answer.
type Refusal struct {
	Code    Code
	Ran     Ran
	Message string
	// RetryAfter is when a repeat may succeed; zero when a repeat cannot help.
	RetryAfter time.Duration
}

// Error renders the refusal.
func (r *Refusal) Error() string { return fmt.Sprintf("%s (ran: %s): %s", r.Code, r.Ran, r.Message) }

// Refuse returns a refusal of a request that did not run.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// Digest returns the lower-case hexadecimal SHA-256 digest of a key, the form that documents carry.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// shortHashLength is how many characters of a digest appear in dumps and logs.
const shortHashLength = 8

// ShortHash returns the form of a digest that may be shown.
func ShortHash(digest string) string {
	if len(digest) > shortHashLength {
		return digest[:shortHashLength]
	}
	return digest
}

// OrganisationIndex is the index of a document's organisations and keys. It is immutable.
type OrganisationIndex struct {
	byDigest map[string]*document.Organisation
	host     *document.Organisation
}

// NewOrganisationIndex indexes a valid document.
func NewOrganisationIndex(doc *document.Document) *OrganisationIndex {
	a := &OrganisationIndex{byDigest: map[string]*document.Organisation{}}
	for i := range doc.Organisations {
		o := &doc.Organisations[i]
		if o.IsHost {
			a.host = o
		}
		for _, k := range o.Keys {
			a.byDigest[k.SHA256] = o
		}
	}
	return a
}

// Identify returns the organisation that a request runs for, or a refusal. Requests without a key run only on
// open services and count against the host.
func (a *OrganisationIndex) Identify(service document.Service, key string) (*document.Organisation, *Refusal) {
	if key == "" {
		return a.IdentifyDigest(service, "")
	}
	return a.IdentifyDigest(service, Digest(key))
}

// IdentifyDigest is Identify for the digest of a key, empty if there is no key.
func (a *OrganisationIndex) IdentifyDigest(service document.Service, digest string) (*document.Organisation, *Refusal) {
	if digest == "" {
		if !service.KeyOptional {
			return nil, Refuse(CodeUnauthenticated, 0, "service %q needs a key", service.Name)
		}
		return a.host, nil
	}
	o, ok := a.byDigest[digest]
	if !ok {
		return nil, Refuse(CodeUnauthenticated, 0, "the key is not valid")
	}
	return o, nil
}
