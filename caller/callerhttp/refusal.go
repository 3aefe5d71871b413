package callerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"dogwooddrift.org/drift/caller"
	querytier "dogwooddrift.org/drift/caller/callerhttp/gen/query_tier"
)

// errorNames maps each refusal code to the name of its error in the goa design, which determines the HTTP status.
var errorNames = map[caller.Code]string{
	caller.CodeBadRequest:      "invalid",
	caller.CodeUnauthenticated: "unauthorized",
	caller.CodeForbidden:       "forbidden",
	caller.CodeUnknownService:  "unknown",
	caller.CodeRateLimited:     "rate_limited",
	caller.CodeOverloaded:      "unavailable",
	caller.CodeDraining:        "unavailable",
	caller.CodeNotConfigured:   "unavailable",
	caller.CodeIsolated:        "unavailable",
	caller.CodeDeadline:        "late",
	caller.CodeNoTarget:        "unavailable",
	caller.CodeQuarantined:     "forbidden",
	caller.CodeHomeUnreachable: "unavailable",
	caller.CodeDuplicate:       "conflict",
	caller.CodeOutcomeUnknown:  "failed",
	caller.CodeInternal:        "failed",
}

// refusalBody converts a refusal to the error type of the goa design.
func refusalBody(r *caller.Refusal) *querytier.RefusalBody {
	b := &querytier.RefusalBody{
		Name: errorNames[r.Code], Code: string(r.Code), Ran: string(r.Ran), Message: r.Message,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		b.RetryAfter = &seconds
	}
	return b
}

// refusalJSON is the response to a refused request. The exported fields are its JSON body.
type refusalJSON struct {
	Code         string `json:"code"`
	Ran          string `json:"ran"`
	Message      string `json:"message"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	status       int
}

// StatusCode returns the HTTP status of the response.
func (b *refusalJSON) StatusCode() int { return b.status }

// errorFormatter formats error responses and reports requests that cannot be decoded.
type errorFormatter struct {
	onMalformed func(id string, r *caller.Refusal)
}

// format formats refusals, and converts errors of goa itself to the same JSON body. The generated encoder sets the status
// of a refusal.
func (f *errorFormatter) format(ctx context.Context, err error) goahttp.Statuser {
	var refusal *querytier.RefusalBody
	if errors.As(err, &refusal) {
		return &refusalJSON{Code: refusal.Code, Ran: refusal.Ran, Message: refusal.Message, RetryAfterMs: refusal.RetryAfterMs}
	}
	out := &refusalJSON{Code: string(caller.CodeBadRequest), Ran: string(caller.RanNo), Message: err.Error(), status: http.StatusBadRequest}
	var goaError *goa.ServiceError
	switch {
	case errors.As(err, &goaError) && goaError.Name == "unready":
		out.Code, out.status = string(caller.CodeNotConfigured), http.StatusServiceUnavailable
	case errors.As(err, &goaError) && goaError.Fault:
		out.Code, out.Ran, out.status = string(caller.CodeInternal), string(caller.RanUnknown), http.StatusInternalServerError
	default:
		f.onMalformed(requestID(ctx), caller.Refuse(caller.CodeBadRequest, 0, "%s", out.Message))
	}
	return out
}

// writeTooLarge refuses a request whose body exceeds maxBodyBytes.
func (f *errorFormatter) writeTooLarge(w http.ResponseWriter, r *http.Request) {
	refusal := caller.Refuse(caller.CodeBadRequest, 0, "the body has %d bytes, the limit is %d bytes", r.ContentLength, maxBodyBytes)
	f.onMalformed(requestID(r.Context()), refusal)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusRequestEntityTooLarge)
	_ = json.NewEncoder(w).Encode(&refusalJSON{Code: string(refusal.Code), Ran: string(refusal.Ran), Message: refusal.Message})
}
