package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwooddrift.org/drift/cmd/internal/deploy"
	"dogwooddrift.org/drift/cmd/internal/rules"
	"dogwooddrift.org/drift/platform"
	"dogwooddrift.org/drift/platform/platformtest"
)

// queryRoute is a route whose answers are gathered from all shards. The priorities compete for the same targets.
type queryRoute struct {
	name        string
	priority    int
	objective   time.Duration
	coverage    float64
	maxAttempts int
}

var queryRoutes = []queryRoute{
	{"urgent", 0, 100 * time.Millisecond, 0.75, 2}, {"many", 1, 500 * time.Millisecond, 1, 2}, {"bulk", 2, time.Second, 0.75, 1},
}

const (
	// calmFraction is the part of the run at its beginning in which no link or process is disturbed, since the rules on what
	// must be answered are lenient beside such faults.
	calmFraction = 4
	// meanLoadInterval is the mean time between two changes of the load.
	meanLoadInterval = 500 * time.Millisecond
	// maxLoadDuration bounds how long a change of the load lasts, and maxFreeze how long an owner is frozen. Owners count as
	// lost after some tens of milliseconds, before the members notice.
	maxLoadDuration = 2 * time.Second
	maxFreeze       = 600 * time.Millisecond
	// minShortage and maxExtraShortage bound how long a shortage lasts.
	minShortage      = 2 * time.Second
	maxExtraShortage = 2 * time.Second
	// maxTogetherInterval bounds the time between two times at which all instances but one stop.
	maxTogetherInterval = 8 * time.Second
	// readersCutTime is how long readers of the store are cut off, longer than targets that leave may be used.
	readersCutTime = 5 * time.Second
	// shortagePace is how many times longer work takes in a shortage, with one slot for each target; shortageCallers send
	// beside the others.
	shortagePace    = 6
	shortageCallers = 16
	// bodyBurst requests with a body of burstBodyBytes are sent to one instance at the same time. Two of them are more than one
	// target may get from one instance of four.
	bodyBurst      = 4
	burstBodyBytes = 150_000
	// outsideConnections is the number of connections of callers that read slowly or send heads without end.
	outsideConnections = 4
	// weakCores is a part of a core with which an instance lets others gather groups of manyShards shards.
	weakCores  = 0.05
	fewShards  = 4
	manyShards = 12
)

// drawDeployment draws the number of shards and the parts of a core that the instances state.
func (e *edgeEnvironment) drawDeployment(s *soak) (shards int, cores []float64) {
	e.rng = rand.New(rand.NewPCG(s.Seed, 2)) // the schedule of the other faults stays as it was
	cores = make([]float64, s.Instances)
	if s.Planned {
		e.limited = s.Seed%2 == 1 // runs with even seeds leave the targets of changes to the other callers
		return fewShards, cores
	}
	e.quiet = e.rng.IntN(3) == 0
	if e.rng.IntN(4) == 0 {
		return fewShards, cores
	}
	for n := range cores {
		cores[n] = []float64{weakCores, weakCores, 1}[e.rng.IntN(3)]
	}
	return manyShards, cores
}

// addPriorities replaces the gathered route of a configuration by those of queryRoutes, and adds the route of crashingService.
func addPriorities(configuration map[string]any, shards []string, version int) {
	configuration["Services"] = append(configuration["Services"].([]map[string]any), map[string]any{"Name": crashingService, "HealthPath": platformtest.HealthPath, "MaxConnections": 200})
	routes := configuration["Routes"].([]map[string]any)[1:]
	routes = append(routes, map[string]any{
		"Name": crashingService, "Host": edgeHost, "Prefix": "/" + crashingService + "/", "Type": "non_idempotent", "TimeoutMs": 2000, "TargetLatencyMs": 500,
		"Service": crashingService, "MaxAttempts": 2, "Priority": 2,
	})
	for _, q := range queryRoutes {
		records := fewRecords
		if q.name == recordsRoute && version%2 == 0 {
			records = manyRecords
		}
		routes = append(routes, map[string]any{
			"Name": q.name, "Host": edgeHost, "Prefix": "/" + q.name + "/", "Type": "idempotent", "TimeoutMs": 2000, "Fanout": shards, "TopK": records,
			"TargetLatencyMs": q.objective.Milliseconds(), "MaxAttempts": q.maxAttempts, "MinCoverage": q.coverage, "Priority": q.priority,
		})
	}
	configuration["Routes"] = routes
}

// usualLoad is the capacity of a target without a fault.
func (e *edgeEnvironment) usualLoad(t *platformtest.Target) platformtest.Load {
	l := platformtest.Load{Slots: 2, Queue: 6, Report: e.reports[t.ID]}
	if t.Service == changeService {
		l.Slots = 8
	}
	return l
}

// varyLoad changes the load of targets and instances for a time, or stops instances at the same time in runs of planned work with an
// organisation over its rate.
func (e *edgeEnvironment) varyLoad(ctx context.Context, s *soak, c *callers, calm bool, length time.Duration) {
	if s.Planned {
		if e.limited {
			e.stopTogether(ctx, s, length)
		}
		return
	}
	var running sync.WaitGroup
	start := time.Now()
	for time.Since(start) < length && ctx.Err() == nil {
		duration := time.Duration(e.rng.Float64() * float64(maxLoadDuration))
		f := e.loadFault(ctx, s, c, calm, &duration)
		s.Report("%6.2fs for %4.2fs: %s", s.recording.now().Seconds(), duration.Seconds(), f.name)
		running.Go(func() {
			f.begin()
			time.Sleep(duration)
			f.end()
		})
		if !sleep(ctx, time.Duration(e.rng.ExpFloat64()*float64(meanLoadInterval))) {
			break
		}
	}
	running.Wait()
}

// stopTogether stops all instances but one at the same time, again and again. Limits that all share are then divided among few,
// while those that stop still serve.
func (e *edgeEnvironment) stopTogether(ctx context.Context, s *soak, length time.Duration) {
	var running sync.WaitGroup
	for start := time.Now(); sleep(ctx, time.Duration(e.rng.Float64()*float64(maxTogetherInterval))) && time.Since(start) < length; {
		left := s.instances[e.rng.IntN(len(s.instances))]
		s.Report("%6.2fs: all but %s stop", time.Since(start).Seconds(), left.id)
		for _, i := range s.instances {
			if i != left {
				running.Go(s.processFault(i, &i.faultLock, syscall.SIGTERM, 0).begin)
			}
		}
		running.Wait()
	}
}

// loadFault draws a change of the load. calm excludes those that disturb instances.
func (e *edgeEnvironment) loadFault(ctx context.Context, s *soak, c *callers, calm bool, duration *time.Duration) fault {
	t, i := e.targets[e.rng.IntN(len(e.targets))], s.instances[e.rng.IntN(len(s.instances))]
	for t.Service == crashingService {
		t = e.targets[e.rng.IntN(len(e.targets))]
	}
	l := e.usualLoad(t)
	switch kind := e.rng.IntN(20); {
	case kind < 3:
		l.Pace = 2 + 8*e.rng.Float64()
		return e.targetLoad(t, l)
	case kind < 5:
		l.Slots, l.Queue = 1, 0
		return e.targetLoad(t, l)
	case kind < 6:
		l.Report = platformtest.OddReport
		return e.targetLoad(t, l)
	case kind < 8:
		return targetFaults(t, platformtest.Faults{Shed: 0.5})
	case kind < 9: // the targets of all changes
		t = e.targets[e.rng.IntN(edgeReplicas)]
		return targetFaults(t, platformtest.Faults{Shed: 0.5, Copy: 1})
	case kind < 10:
		*duration += time.Second
		return e.shardFails(t.Service)
	case kind < 12:
		return fault{name: "bodies to " + i.id, begin: func() { e.sendBodies(c, i) }, end: func() {}}
	case kind < 13:
		until := *duration
		return fault{name: "callers outside of the limits at " + i.id, begin: func() { e.sendOutsideLimits(i, until) }, end: func() {}}
	case kind < 14 && e.rng.IntN(2) == 0:
		*duration = readersCutTime
		return e.readersCut(s, t)
	case kind < 14:
		late := time.Duration(0)
		if e.rng.IntN(2) == 0 {
			late = time.Duration(e.rng.Float64() * float64(maxLateWrite))
		}
		return fault{name: fmt.Sprintf("target %s leaves, its earlier entry written after %v", t.ID, late), begin: func() { e.entries.leaves(t, s.recording, late) }, end: func() {}}
	case kind < 16:
		return fault{name: "new configuration", begin: func() { e.entries.writeConfiguration(s.recording) }, end: func() {}}
	case kind < 17 || calm:
		*duration = minShortage + time.Duration(e.rng.Float64()*float64(maxExtraShortage))
		return e.shortage(ctx, s, c)
	}
	*duration = time.Duration(e.rng.Float64() * float64(maxFreeze))
	return s.processFault(i, &i.faultLock, syscall.SIGSTOP, 0)
}

// shardFails makes all targets of a service answer that requests failed. Routes that do not need all parts go on.
func (e *edgeEnvironment) shardFails(service string) fault {
	set := func(f platformtest.Faults) {
		for _, t := range e.targets {
			if t.Service == service {
				t.SetFaults(f)
			}
		}
	}
	return fault{name: "service " + service + " fails", begin: func() { set(platformtest.Faults{Fail: 1}) }, end: func() { set(platformtest.Faults{}) }}
}

// readersCut cuts all instances but one of the zone with two from the store, and lets a target leave at once. If the instance
// that is left had not read the store itself, it has to learn in time that its reader has lost it.
func (e *edgeEnvironment) readersCut(s *soak, t *platformtest.Target) fault {
	left := s.instances[len(zones)*e.rng.IntN(1+len(s.instances)/(len(zones)+1))]
	var cut []namedLink
	var names []string
	for _, i := range s.instances {
		for _, l := range s.links {
			if i != left && l.name == i.id+" store" {
				cut, names = append(cut, l), append(names, i.id)
			}
		}
	}
	set := func(state deploy.LinkState) {
		for _, l := range cut {
			l.link.SetState(state)
		}
	}
	f := s.recorded(fault{
		name: "only " + left.id + " reaches the store, target " + t.ID + " leaves", begin: func() { set(deploy.LinkFrozen) }, end: func() { set(deploy.LinkOpen) },
	}, names...)
	return fault{name: f.name, begin: func() { f.begin(); go e.entries.leaves(t, s.recording, 0) }, end: f.end}
}

func targetFaults(t *platformtest.Target, f platformtest.Faults) fault {
	return fault{name: fmt.Sprintf("target %s %+v", t.ID, f), begin: func() { t.SetFaults(f) }, end: func() { t.SetFaults(platformtest.Faults{}) }}
}

func (e *edgeEnvironment) targetLoad(t *platformtest.Target, l platformtest.Load) fault {
	return fault{name: fmt.Sprintf("target %s %+v", t.ID, l), begin: func() { t.SetLoad(l) }, end: func() { t.SetLoad(e.usualLoad(t)) }}
}

// shortage leaves each target one slow slot, and adds callers. Shortages do not overlap: one that is drawn during another has
// no effect.
func (e *edgeEnvironment) shortage(ctx context.Context, s *soak, c *callers) fault {
	var from rules.Time
	var stop func()
	return fault{name: "shortage", begin: func() {
		if !e.shortageLock.TryLock() {
			return
		}
		for _, t := range e.targets {
			l := e.usualLoad(t)
			l.Slots, l.Pace = 1, shortagePace
			t.SetLoad(l)
		}
		from, stop = s.recording.now(), c.startQueries(ctx, shortageCallers)
	}, end: func() {
		if stop == nil {
			return
		}
		s.recording.add(rules.Shortage{At: from, Until: s.recording.now()})
		stop()
		for _, t := range e.targets {
			t.SetLoad(e.usualLoad(t))
		}
		e.shortageLock.Unlock()
	}}
}

// sendBodies sends several large bodies at the same time.
func (e *edgeEnvironment) sendBodies(c *callers, to *instance) {
	var running sync.WaitGroup
	body := strings.Repeat("!", burstBodyBytes) // targets repeat it as records that sort below their own
	for k := range bodyBurst {
		n := e.queries.Add(1)
		running.Go(func() { e.sendQuery(c, to, queryRoutes[k%2], fmt.Sprint("b", n), body, "") }) // routes with answers of few records
	}
	running.Wait()
}

// sendOutsideLimits opens connections that send a head without end, or a request whose answer is read byte by byte.
func (e *edgeEnvironment) sendOutsideLimits(to *instance, length time.Duration) {
	var running sync.WaitGroup
	for n := range outsideConnections {
		running.Go(func() {
			connection, err := net.DialTimeout("tcp", to.callersAddress, dialTimeout)
			if err != nil {
				return // the instance or its link is down
			}
			defer func() { _ = connection.Close() }()
			_ = connection.SetDeadline(time.Now().Add(length))
			if n%2 == 0 {
				_, _ = io.WriteString(connection, "GET /many/x HTTP/1.1\r\nHost: "+edgeHost+"\r\n")
				for err == nil {
					_, err = fmt.Fprintf(connection, "X-%d: %s\r\n", rand.Int(), strings.Repeat("x", 100))
					time.Sleep(time.Millisecond)
				}
				return
			}
			_, _ = fmt.Fprintf(connection, "GET /many/x HTTP/1.1\r\nHost: %s\r\n%s: slow%d\r\n%s: %s\r\n%s: 2000\r\n\r\n", edgeHost,
				platform.HeaderRequestID, rand.Int(), platform.HeaderKey, callerKey, platform.HeaderDeadline)
			for one := make([]byte, 1); err == nil; time.Sleep(20 * time.Millisecond) {
				_, err = connection.Read(one)
			}
		})
	}
	running.Wait()
}

// idleLimit is how long an instance may take after the last request until its metrics show that it holds nothing for
// requests: the longest deadline, and the interval of the metrics.
const idleLimit = 8 * time.Second

// idleMetrics are 0 while an instance serves no request.
var idleMetrics = []string{"reply_bytes_held", "body_bytes_held", "waiting_starts", "waiting_parts"}

// checkIdle adds a finding for each instance that holds memory or places for requests after all have ended.
func (e *edgeEnvironment) checkIdle(ctx context.Context, s *soak) {
	deadline := time.Now().Add(idleLimit)
	for _, i := range s.instances {
		for held := e.held(ctx, i); held != ""; held = e.held(ctx, i) {
			if time.Now().After(deadline) || !sleep(ctx, 200*time.Millisecond) {
				s.addFinding("HELD: %s has no request and %s", i.id, held)
				break
			}
		}
	}
}

// held returns what an instance's metrics say that it holds, "" for nothing.
func (e *edgeEnvironment) held(ctx context.Context, i *instance) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.metricsAddress+"/metrics", nil)
	if err != nil {
		return err.Error()
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	var out []string
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		for _, name := range idleMetrics {
			if strings.HasPrefix(line, "dogwooddrift_"+name) && !strings.HasSuffix(line, " 0") {
				out = append(out, line)
			}
		}
	}
	return strings.Join(out, ", ")
}
