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

// groups maps each refusal code to the name of its error in the design, which sets the HTTP status.
var groups = map[caller.Code]string{
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

func refusalBody(r *caller.Refusal) *querytier.RefusalBody {
	b := &querytier.RefusalBody{
		Name: groups[r.Code], Code: string(r.Code), Ran: string(r.Ran), Message: r.Message,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		b.RetryAfter = &seconds
	}
	return b
}

// body is the JSON body of every refusal.
type body struct {
	Code         string `json:"code"`
	Ran          string `json:"ran"`
	Message      string `json:"message"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	status       int
}

// StatusCode returns the HTTP status of the response.
func (b *body) StatusCode() int { return b.status }

// formatter renders refusals and tells of requests that cannot be decoded.
type formatter struct {
	malformed func(id string, r *caller.Refusal)
}

// format renders refusals, and turns errors of goa itself into the same shape. The status of a refusal is set by
// the generated encoder.
func (f *formatter) format(ctx context.Context, err error) goahttp.Statuser {
	var refused *querytier.RefusalBody
	if errors.As(err, &refused) {
		return &body{Code: refused.Code, Ran: refused.Ran, Message: refused.Message, RetryAfterMs: refused.RetryAfterMs}
	}
	out := &body{Code: string(caller.CodeBadRequest), Ran: string(caller.RanNo), Message: err.Error(), status: http.StatusBadRequest}
	var decoded *goa.ServiceError
	switch {
	case errors.As(err, &decoded) && decoded.Name == "unready":
		out.Code, out.status = string(caller.CodeNotConfigured), http.StatusServiceUnavailable
	case errors.As(err, &decoded) && decoded.Fault:
		out.Code, out.Ran, out.status = string(caller.CodeInternal), string(caller.RanUnknown), http.StatusInternalServerError
	default:
		f.malformed(requestID(ctx), caller.Refuse(caller.CodeBadRequest, 0, "%s", out.Message))
	}
	return out
}

func (f *formatter) writeTooLarge(w http.ResponseWriter, r *http.Request) {
	refusal := caller.Refuse(caller.CodeBadRequest, 0, "the body has %d bytes, at most %d are allowed", r.ContentLength, maxBodyBytes)
	f.malformed(requestID(r.Context()), refusal)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusRequestEntityTooLarge)
	_ = json.NewEncoder(w).Encode(&body{Code: string(refusal.Code), Ran: string(refusal.Ran), Message: refusal.Message})
}
