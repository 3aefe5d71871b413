package traffic

import (
	"context"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/targets"
)

// Request is a caller's request that is forwarded according to the routing. Method, URI, header and body are passed on
// unchanged.
type Request struct {
	ID     string
	Method string
	// RequestURI is the path and query as the caller sent them, Path the path that routes are matched against.
	RequestURI, Path string
	Host             string
	// Header holds the end-to-end header fields, without those that this system sets or consumes.
	Header map[string][]string
	Body   []byte
	// Key is the caller's API key, empty if there is none. It is not passed on.
	Key string
	// Received is the time at which the request had arrived completely; the caller waits until Deadline.
	Received, Deadline time.Time
	// TransitTime is the time that the request took to arrive plus the time that its answer is expected to take to the
	// caller, including the opening of the connection.
	TransitTime time.Duration
}

// TargetRequest is one attempt to send a request to a target.
type TargetRequest struct {
	Target *targets.Target
	// Deadline is the time at which the target must stop processing the request.
	Deadline time.Time
	// MaySend is called immediately before the request is sent and reports whether it may still be sent: the process may
	// have been suspended since the decision to send it.
	MaySend func(now time.Time) bool
	// Turn is the permit to start, held when the request is passed on. The sender calls Done as soon as the request is written,
	// and Pause and Resume around a wait for the target before that. It is nil if the starts of sends are not ordered.
	Turn *StartTurn
}

// TargetReply is the outcome of a TargetRequest.
type TargetReply struct {
	Outcome targets.LegOutcome
	// Reason describes the cause of the outcome, for logs.
	Reason string
	Status int
	Header map[string][]string
	Body   []byte
	// Held is the memory of Body. The receiver of the reply releases it.
	Held HeldBytes
	// Signature is the target's signature of its reply, empty if there is none.
	Signature string
	// Load is the load that the target reported, nil without a valid report. InvalidLoad is set if it sent an invalid one.
	Load        *targets.LoadReport
	InvalidLoad bool
	// Connecting is the time that the opening of the connection took, 0 if it was open. ReusableUntil is until when the
	// connection can carry another request, zero if it cannot.
	Connecting    time.Duration
	ReusableUntil time.Time
	// ColdFor is the remaining warm-up time that the target reported, 0 if it is warm or reported none.
	ColdFor time.Duration
	// Leaving reports that the target said that it is leaving.
	Leaving bool
	// Rest is the time for which a target that refused the request wants no further ones, 0 if it did not ask for a rest.
	Rest time.Duration
	// ConnectionRefused reports that the target refused the connection, ConnectionLost that it closed or reset the
	// connection, Misdirected that another target now has the address.
	ConnectionRefused, ConnectionLost, Misdirected bool
}

// Success reports whether the status of the reply is 2xx.
func (r *TargetReply) Success() bool { return r.Status >= 200 && r.Status < 300 }

// TargetSender sends requests to targets.
type TargetSender interface {
	// Prepare encodes the common part of all attempts of a request. organisation is the name of the organisation that
	// the request runs for, empty if it runs for none.
	Prepare(r *Request, organisation string) PreparedRequest
}

// PreparedRequest is a request that can be sent to several targets concurrently.
type PreparedRequest interface {
	// Send returns when the reply is complete, the request failed or ctx ended.
	Send(ctx context.Context, r TargetRequest) TargetReply
}

// GatheredAnswer is an answer that was merged from the replies of several shards.
type GatheredAnswer struct {
	// Signatures holds the signatures of the merged replies; MissingParts is the number of parts without a reply.
	Signatures   []string
	MissingParts int
	Body         []byte
	// Held is the memory of Body, which was that of the parts before.
	Held HeldBytes
}

// ForwardResult is the answer to a forwarded request. Exactly one exported field is set.
type ForwardResult struct {
	Reply    *TargetReply
	Gathered *GatheredAnswer
	Refusal  *caller.Refusal
	// written learns when the result has been written to the caller, unless it is nil.
	written func(time.Time)
}

// Release gives back the memory that the result holds, once it has been written to the caller. It is called once.
func (r *ForwardResult) Release() {
	if r.written != nil {
		r.written(time.Now())
	}
	if r.Reply != nil {
		r.Reply.Held.Release()
	}
	if r.Gathered != nil {
		r.Gathered.Held.Release()
	}
}
