// Package caller authenticates and admits the requests of callers and defines the refusals that they receive: it
// identifies the organisation of a request, limits rates, queues requests and tracks the state of changes.
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

// Code is the machine-readable reason of a refusal. Codes are part of the API and never change.
type Code string

// The codes of refusals, with the conditions that they stand for described in docs/refusals.md.
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

// Ran states in a refusal whether the request ran at a target.
type Ran string

// The values of Ran. RanNo is used only if the request certainly did not run.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Refusal is the error of this package: it describes why a request was rejected or failed without an answer.
type Refusal struct {
	Code Code
	Ran  Ran
	// Message explains the refusal to people.
	Message string
	// RetryAfter is the delay after which a retry may succeed; zero if a retry cannot help.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return fmt.Sprintf("%s (ran: %s): %s", r.Code, r.Ran, r.Message) }

// Refuse returns a refusal of a request that certainly did not run.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// Digest returns the lower-case hexadecimal SHA-256 digest of a key. Documents hold keys in this form.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// shortHashLength is the number of digest characters that dumps and logs show.
const shortHashLength = 8

// ShortHash returns the prefix of a digest that may appear in dumps and logs.
func ShortHash(digest string) string {
	if len(digest) > shortHashLength {
		return digest[:shortHashLength]
	}
	return digest
}

// OrganisationIndex looks up the organisations of a document by key digest. It is immutable.
type OrganisationIndex struct {
	byKeyDigest map[string]*document.Organisation
	host        *document.Organisation
}

// NewOrganisationIndex indexes a valid document.
func NewOrganisationIndex(doc *document.Document) *OrganisationIndex {
	x := &OrganisationIndex{byKeyDigest: map[string]*document.Organisation{}}
	for i := range doc.Organisations {
		o := &doc.Organisations[i]
		if o.IsHost {
			x.host = o
		}
		for _, k := range o.Keys {
			x.byKeyDigest[k.SHA256] = o
		}
	}
	return x
}

// Identify returns the organisation that a request with the given key runs for, or a refusal. A request without a
// key, given as "", is accepted only by services with an optional key and is accounted to the host organisation.
func (x *OrganisationIndex) Identify(service document.Service, key string) (*document.Organisation, *Refusal) {
	if key == "" {
		return x.IdentifyDigest(service, "")
	}
	return x.IdentifyDigest(service, Digest(key))
}

// IdentifyDigest is like Identify but takes the digest of the key, "" if there is no key.
func (x *OrganisationIndex) IdentifyDigest(service document.Service, digest string) (*document.Organisation, *Refusal) {
	if digest == "" {
		if !service.KeyOptional {
			return nil, Refuse(CodeUnauthenticated, 0, "service %q requires a key", service.Name)
		}
		return x.host, nil
	}
	o, ok := x.byKeyDigest[digest]
	if !ok {
		return nil, Refuse(CodeUnauthenticated, 0, "the key is not valid")
	}
	return o, nil
}
