package traffic

import (
	"math/rand/v2"
	"slices"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/targets"
)

// bodyRoom leaves out targets to which too many bytes of request bodies are in flight from this instance.
type bodyRoom struct {
	// bytes is the size of the body, 0 if the request has none.
	bytes int
	// limit is ForwarderSettings.TargetBodyMemory.
	limit int64
	// refused is set when all targets of a service are left out.
	refused *bool
}

// filter returns the targets that have room for the body. It returns its argument unchanged if all of them do.
func (b bodyRoom) filter(candidates []*targets.Target, members int) []*targets.Target {
	if b.bytes == 0 || b.limit <= 0 {
		return candidates
	}
	share := targets.BodyShare(b.limit, members)
	full := func(t *targets.Target) bool { return !t.Stats.HasBodyRoom(b.bytes, share) }
	if !slices.ContainsFunc(candidates, full) {
		return candidates
	}
	out := slices.DeleteFunc(slices.Clone(candidates), full)
	if len(out) == 0 {
		*b.refused = true
	}
	return out
}

// reasonNoBodyRoom is the reason of an attempt that was not sent because another body took the room at the target after the
// choice.
const reasonNoBodyRoom = "no room for the body at the target"

// directory returns the directory of the request's targets. It belongs to the goroutine of the request.
func (d *dispatchRun) directory() liveDirectory {
	return liveDirectory{
		loop: d.forwarder.loop, route: d.route, account: d.account,
		body: bodyRoom{bytes: len(d.request.Body), limit: d.forwarder.settings.TargetBodyMemory, refused: &d.bodyRefused},
	}
}

// holdBody counts the body as in flight to the target and reports whether there was room for it.
func (d *dispatchRun) holdBody(t *targets.Target) bool {
	share := targets.BodyShare(d.forwarder.settings.TargetBodyMemory, d.forwarder.loop.Snapshot().MemberCount)
	return t.Stats.TryHoldBody(len(d.request.Body), share)
}

// lacksBodyRoom reports whether the targets of so many services have no room for the body that the request cannot be
// answered. It is then refused before any of its parts runs.
func (d *dispatchRun) lacksBodyRoom(services []string) bool {
	if len(d.request.Body) == 0 || d.forwarder.settings.TargetBodyMemory <= 0 {
		return false
	}
	required := 1.0
	if d.route.Sharded() {
		required = d.route.MinCoverage
	}
	left := len(services)
	for _, s := range services {
		refused := false
		directory := d.directory()
		directory.body.refused = &refused
		directory.Candidates(s)
		if refused {
			left--
		}
	}
	return left < len(services) && float64(left) < required*float64(len(services))
}

// bodyRefusal is the refusal of a request whose body found no room at the targets. The delay is spread so that callers do
// not return at the same instant.
func bodyRefusal() *caller.Refusal {
	spread := time.Duration(rand.Float64() * float64(targetsFullRetry))
	return caller.Refuse(caller.CodeOverloaded, targetsFullRetry+spread, "the targets have no room for the body")
}
