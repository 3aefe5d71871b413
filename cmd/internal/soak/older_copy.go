package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"dogwooddrift.org/drift/cmd/internal/rules"
	"dogwooddrift.org/drift/platform/platformtest"
)

// The fault of the store in which it returns from an older copy of itself: it loses what it acknowledged since, and writers write
// that again.

const (
	// One of returnsEvery seeds has returns of the store, and in every other of these it states an era.
	returnsEvery = 4
	// minReturnInterval and maxReturnInterval bound the time from the beginning of the run, or a return, until the next copy is
	// made. Some are longer than the time in which the rules on what must be in force do not bind, some are not.
	minReturnInterval, maxReturnInterval = time.Second, 9 * time.Second
	// maxCopyAge bounds how old the copy is, maxAway how long the store is away.
	maxCopyAge, maxAway = 4 * time.Second, 3 * time.Second
	// minRewrite and maxRewrite bound how long after a return a writer writes again what was lost.
	minRewrite, maxRewrite = 200 * time.Millisecond, 1800 * time.Millisecond
	// maxLostRounds bounds how many writes of each target a copy lacks. What is written again are fewer, so that the revisions do
	// not always pass the lost ones at once.
	maxLostRounds = 4
	// versionsPause is the pause between two requests on routes that only some versions have.
	versionsPause = 50 * time.Millisecond
)

// drawReturns draws whether the store returns from older copies in this run. The draws have a source of their own, so that those of
// other faults do not change.
func (e *edgeEnvironment) drawReturns(s *soak, store *platformtest.Store) {
	e.returns = !s.Planned && s.Seed%returnsEvery == returnsEvery-1
	e.returnsRNG = rand.New(rand.NewPCG(s.Seed, 3))
	if e.returns && s.Seed/returnsEvery%2 == 0 {
		store.StateEra(1)
	}
}

// between returns a random time.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Float64()*float64(most-least))
}

// returnStore lets the store return from copies until ctx ends. Each copy lacks a write of each target at least, and the operator
// writes a new version after some returns.
func (e *edgeEnvironment) returnStore(ctx context.Context, s *soak) {
	var rewriting sync.WaitGroup
	defer rewriting.Wait()
	rng := e.returnsRNG
	for sleep(ctx, between(rng, minReturnInterval, maxReturnInterval)) {
		age, away := between(rng, 0, maxCopyAge), time.Duration(0)
		switch rng.IntN(3) {
		case 0:
			away = between(rng, 0, maxAway)
		case 1:
			away = between(rng, 0, maxAway/10)
		}
		copied, revision := s.recording.now(), e.entries.store.Revision()
		for range 1 + rng.IntN(maxLostRounds) {
			for _, t := range e.targets {
				e.entries.writeAgain(t, s.recording)
			}
		}
		if rng.IntN(2) == 0 {
			e.entries.writeConfiguration(s.recording)
		}
		if !sleep(ctx, age) {
			return
		}
		e.returnFrom(s, &rewriting, copied, revision, away)
		if rng.IntN(2) == 0 {
			rewriting.Go(func() { time.Sleep(maxRewrite); e.entries.writeConfiguration(s.recording) })
		}
	}
}

// returnFrom lets the store return from the copy with a revision, made at the time copied. What is lost is written again soon.
func (e *edgeEnvironment) returnFrom(s *soak, rewriting *sync.WaitGroup, copied rules.Time, revision uint64, away time.Duration) {
	rng := e.returnsRNG
	lost, version := e.entries.restore(s.recording, copied, revision, away)
	s.Report("%6.2fs: the store was away for %v and lost the newest writes of %d keys", s.recording.now().Seconds(), away, len(lost))
	for _, t := range e.targets {
		if pause := between(rng, minRewrite, maxRewrite); slices.Contains(lost, "servers/"+t.ID) {
			rewriting.Go(func() { time.Sleep(pause); e.entries.writeAgain(t, s.recording) })
		}
	}
	if pause := between(rng, minRewrite, maxRewrite); slices.Contains(lost, "op/config") {
		rewriting.Go(func() { time.Sleep(pause); e.entries.writeConfigurationAgain(version, s.recording) })
	}
}

// restore lets the store return from the copy with a revision, made at the time copied. It returns the keys whose newest writes
// are lost, and the newest version of the configuration. Other writes are before or after that.
func (n *entries) restore(r *recording, copied rules.Time, revision uint64, away time.Duration) (lost []string, version int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := rules.StoreReturned{Copied: copied, At: r.now()}
	lost = n.store.Restore(revision, away)
	e.Until = r.now()
	r.add(e)
	return lost, n.version
}

// writeAgain writes the present state of a target as its next entry, unless the target is down.
func (n *entries) writeAgain(t *platformtest.Target, r *recording) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if state := n.states[t.ID]; state != "" {
		n.put(t, state, 0, r)
	}
}

// writeConfigurationAgain writes a version of the configuration again unless there is a newer one.
func (n *entries) writeConfigurationAgain(version int, r *recording) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.version == version {
		n.putConfiguration(r)
	}
}

// versionRoute is a route that a version and the one before have.
func versionRoute(version int) string { return fmt.Sprint("version-", version) }

// addVersionRoutes adds the routes that show which version is in force to a configuration, and to the services by route.
func addVersionRoutes(configuration map[string]any, services map[string][]string, version int) {
	routes := configuration["Routes"].([]map[string]any)
	for _, name := range []string{versionRoute(version), versionRoute(version + 1)} {
		routes = append(routes, map[string]any{
			"Name": name, "Host": edgeHost, "Prefix": "/" + name + "/", "Type": "idempotent", "TimeoutMs": 2000, "TargetLatencyMs": 500,
			"Service": changeService, "MaxAttempts": 2,
		})
		services[name] = []string{changeService}
	}
	configuration["Routes"] = routes
}

// sendToVersions sends requests on routes that the newest version has, adds or has dropped, until ctx ends.
func (e *edgeEnvironment) sendToVersions(ctx context.Context, c *callers) {
	var running sync.WaitGroup
	for k, to := range c.soak.instances {
		running.Go(func() {
			for n := 0; sleep(ctx, versionsPause); n++ {
				if version := int(e.entries.latest.Load()) - 1 + n%3; version > 0 {
					e.send(c, to, http.MethodGet, fmt.Sprintf("v%d.%d", k, n), "text", rules.RequestSent{Route: versionRoute(version), Idempotent: true, MaxAttempts: 2})
				}
			}
		})
	}
	running.Wait()
}
