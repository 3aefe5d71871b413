package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dogwooddrift.org/drift/cmd/internal/rules"
	"dogwooddrift.org/drift/platform/platformtest"
)

// Faults of what targets and operators write to the store: targets that leave and whose earlier entry the store writes late,
// targets that crash and return, and new versions of the configuration.

const (
	// drainTime is how long a target is leaving. It is longer than the time in which instances must learn it, and shorter than
	// that after which an outdated entry is believed.
	drainTime = 6500 * time.Millisecond
	// maxLateWrite bounds how long after the entry of a leaving target its earlier one is written.
	maxLateWrite = 3 * time.Second
	// crashTime is how long a target that crashed is down.
	crashTime = 2 * time.Second
	// crashingInterval is the time between two requests that crash targets.
	crashingInterval = 1200 * time.Millisecond
	// crashingService runs nothing but requests that crash it, so that nothing else shows that its targets are down.
	crashingService = "rare"
	// fewRecords and manyRecords are the numbers of records in answers on recordsRoute, in turns with the versions.
	fewRecords, manyRecords = 2, 8
	recordsRoute            = "bulk"
	// limitedKey is the key of an organisation that sends far more than its rate, in some runs of planned work.
	limitedKey, limitedOrganisation = "soak-key-2", "limited"
	limitedRate, limitedBurst       = 100, 10
	// limitedCallers send for it.
	limitedCallers = 8
)

// The states of targets in their entries.
const stateReady, stateLeaving = "ready", "draining"

const (
	// seriesRoutes is the number of routes that no caller uses, and versionsPerSeries that of the versions after which they are replaced by
	// others: most versions differ little from the one before, some in most routes.
	seriesRoutes      = 1400
	versionsPerSeries = 3
)

// addManyRoutes adds the routes of a series, none for the first one.
func addManyRoutes(configuration map[string]any, series int) {
	if series == 0 {
		return
	}
	routes := configuration["Routes"].([]map[string]any)
	for i := range seriesRoutes {
		name := fmt.Sprintf("unused-%d-%d", series, i)
		routes = append(routes, map[string]any{
			"Name": name, "Host": edgeHost, "Prefix": "/" + name + "/", "Type": "idempotent", "TimeoutMs": 2000, "TargetLatencyMs": 500,
			"Service": changeService, "MaxAttempts": 2,
		})
	}
	configuration["Routes"] = routes
}

// entries is what targets and operators have written to the store. It is safe for concurrent use.
type entries struct {
	store   *platformtest.Store
	shards  []string
	planned bool
	// versioned is set if each version has routes of its own.
	versioned bool
	// latest is the newest version, for readers that must not wait while the store is away.
	latest atomic.Int64

	mu        sync.Mutex
	version   int
	states    map[string]string // last written, of each target, "" while it is down
	addresses map[string]string // of targets
	sequences map[string]int    // last of each target
	starts    map[string]int    // of each target
	leaving   map[string]bool
}

// writeConfiguration writes the next version of the configuration.
func (n *entries) writeConfiguration(r *recording) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.version++
	n.latest.Store(int64(n.version))
	n.putConfiguration(r)
}

// putConfiguration writes the newest version of the configuration. n.mu must be held.
func (n *entries) putConfiguration(r *recording) {
	c := platformtest.Configuration(n.version, edgeHost, callerKey, n.shards, changeService)
	event := rules.Configuration{
		At: r.now(), Version: n.version, Services: map[string][]string{routeOne: {changeService}, routeMany: n.shards}, Keys: map[string]string{callerKey: organisation},
	}
	if n.planned {
		c["Tenants"] = append(c["Tenants"].([]map[string]any), map[string]any{
			"Name": limitedOrganisation, "ApiKeys": []string{limitedKey}, "RatePerS": limitedRate, "Burst": limitedBurst,
		})
		event.Keys[limitedKey], event.Rates = limitedOrganisation, map[string]rules.Rate{limitedOrganisation: {PerSecond: limitedRate, Burst: limitedBurst}}
		event.Services["read"] = []string{changeService}
	} else {
		addPriorities(c, n.shards, n.version)
		addManyRoutes(c, n.version/versionsPerSeries)
		event.Services[crashingService] = []string{crashingService}
		for _, q := range queryRoutes {
			event.Services[q.name] = n.shards
		}
	}
	if n.versioned {
		addVersionRoutes(c, event.Services, n.version)
	}
	n.store.Put("op/config", c)
	event.Acknowledged = r.now()
	r.add(event)
}

// write writes the next entry of a target, or an earlier one, and records that the target is leaving or ready.
func (n *entries) write(t *platformtest.Target, state string, late int, r *recording) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.put(t, state, late, r)
}

// put is write with n.mu held.
func (n *entries) put(t *platformtest.Target, state string, late int, r *recording) {
	if late == 0 {
		n.sequences[t.ID]++
		n.states[t.ID] = state
	}
	if late == 0 && state == stateReady {
		r.add(rules.TargetReady{At: r.now(), Target: t.ID})
	}
	t.RegisterAs(n.store, n.addresses[t.ID], state, n.sequences[t.ID]-late, n.starts[t.ID])
	if state == stateLeaving {
		r.add(rules.TargetLeaves{At: r.now(), Target: t.ID})
	}
}

// leaves lets a target leave and return, unless it is leaving already. late is when its earlier entry is written late, 0 for
// never.
func (n *entries) leaves(t *platformtest.Target, r *recording, late time.Duration) {
	n.mu.Lock()
	busy := n.leaving[t.ID]
	n.leaving[t.ID] = true
	n.mu.Unlock()
	if busy {
		return
	}
	n.write(t, stateLeaving, 0, r)
	time.Sleep(late)
	if late > 0 {
		n.write(t, stateReady, 1, r)
	}
	time.Sleep(drainTime - late)
	n.write(t, stateReady, 0, r)
	n.mu.Lock()
	n.leaving[t.ID] = false
	n.mu.Unlock()
}

// crashed starts a target again some time after it crashed.
func (n *entries) crashed(t *platformtest.Target, r *recording) {
	n.mu.Lock()
	n.states[t.ID] = ""
	n.mu.Unlock()
	time.AfterFunc(crashTime, func() {
		t.Restart()
		n.mu.Lock()
		n.sequences[t.ID] = 0
		n.starts[t.ID]++
		n.mu.Unlock()
		n.write(t, stateReady, 0, r)
	})
}

// sendCrashing sends changes that crash their targets until ctx ends.
func (e *edgeEnvironment) sendCrashing(ctx context.Context, c *callers) {
	for n := 0; sleep(ctx, crashingInterval); n++ {
		e.send(c, c.soak.instances[n%len(c.soak.instances)], http.MethodPost, fmt.Sprint("crash", n), platformtest.CrashingBody, rules.RequestSent{
			Route: crashingService, MaxAttempts: 2, Fingerprint: platformtest.CrashingBody,
		})
	}
}

// sendLimited sends queries of the organisation that is over its rate until ctx ends.
func (e *edgeEnvironment) sendLimited(ctx context.Context, c *callers) {
	var running sync.WaitGroup
	for w := range limitedCallers {
		running.Go(func() {
			for n := 0; sleep(ctx, callerPause); n++ {
				e.send(c, c.soak.instances[(w+n)%len(c.soak.instances)], http.MethodGet, fmt.Sprintf("l%d.%d", w, n), "text",
					rules.RequestSent{Route: "read", Idempotent: true, MaxAttempts: 2, Key: limitedKey})
			}
		})
	}
	running.Wait()
}

// startOthers starts the callers of special requests.
func (e *edgeEnvironment) startOthers(ctx context.Context, c *callers) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	if e.returns {
		running.Go(func() { e.returnStore(ctx, c.soak) })
		running.Go(func() { e.sendToVersions(ctx, c) })
	}
	switch {
	case e.limited:
		running.Go(func() { e.sendLimited(ctx, c) })
	case e.quiet:
		running.Go(func() { e.sendCrashing(ctx, c) })
	}
	return func() { cancel(); running.Wait() }
}
