// Package edge assembles an instance that runs on the users' platform: the settings file, listeners, the control loop,
// the request path, the executor of control effects, and graceful shutdown.
package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/cmd/internal/linelog"
	"dogwooddrift.org/drift/cmd/internal/metrics"
	"dogwooddrift.org/drift/cmd/internal/requestlog"
	"dogwooddrift.org/drift/cmd/internal/shutdown"
	"dogwooddrift.org/drift/control/loop"
	"dogwooddrift.org/drift/platform/front"
	"dogwooddrift.org/drift/platform/nodefile"
	"dogwooddrift.org/drift/platform/searcher"
	"dogwooddrift.org/drift/platform/store"
	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/sibling/siblinggrpc"
	"dogwooddrift.org/drift/targets"
	"dogwooddrift.org/drift/traffic"
)

// ErrListen means that the instance cannot listen on an address in the settings.
var ErrListen = errors.New("cannot listen")

// Config holds the settings that are not in the settings file.
type Config struct {
	// MetricsPort is the port of /metrics, /dump and /where on the machine's address; 0 disables both.
	MetricsPort int
	// AnswerMargin and ReplyMargin are the fields of traffic.ForwarderSettings with the same names.
	AnswerMargin, ReplyMargin time.Duration
	// MaxDeadline, DefaultDeadline and DefaultTransitTime are the fields of front.Settings with the same names.
	MaxDeadline, DefaultDeadline, DefaultTransitTime time.Duration
	// Notice is how long the instance keeps serving after SIGTERM, so that the load balancer sees that it is not ready.
	Notice    time.Duration
	LogLimits requestlog.Limits
	// MaxReplyBytes is the largest accepted body of a target's reply.
	MaxReplyBytes int
	// ReplyMemoryMB and BodyMemoryMB are the memory in megabytes that the replies of targets and the bodies of callers'
	// requests may take at the same time; 0 derives them from the memory limit in the settings file.
	ReplyMemoryMB, BodyMemoryMB int
	// TargetBodyMemoryMB is how many megabytes of request bodies all instances together may have in flight to one target, at
	// most MaxTargetBodyMemoryMB; 0 is no limit.
	TargetBodyMemoryMB int
	// HeadMemoryMB is the memory in megabytes for the heads of requests that are being read, and as much again for those of
	// running requests; 0 derives it from the memory limit in the settings file.
	HeadMemoryMB int
	// MaxConnections is the number of open connections of callers; 0 derives it from the limits on memory and descriptors in
	// the settings file.
	MaxConnections int
}

// MaxTargetBodyMemoryMB is above the memory of any target and far below an overflow of the bytes.
const MaxTargetBodyMemoryMB = 1 << 16

// DefaultConfig returns the configuration that applies unless flags change it.
func DefaultConfig() Config {
	return Config{
		MetricsPort: 9464,
		// On instances with a fraction of a core, timers fire and processes are scheduled some milliseconds late.
		AnswerMargin: 5 * time.Millisecond,
		ReplyMargin:  2 * time.Millisecond,
		// Two round trips in the slower of the regions.
		DefaultTransitTime: 12 * time.Millisecond,
		MaxDeadline:        time.Hour, DefaultDeadline: 30 * time.Second,
		// The load balancer checks readiness each second and removes an instance after two failed checks.
		Notice:        2500 * time.Millisecond,
		LogLimits:     requestlog.Limits{FailuresPerSecond: 100, SuccessesPerSecond: 10},
		MaxReplyBytes: 4 << 20,
		// The 56 connections of a sharded target with a body of the largest allowed size, 256 KB, on each of them take
		// 14.7 MB. Such a target sheds above 14 requests, so the whole limit refuses nothing that it would run.
		TargetBodyMemoryMB: 16,
	}
}

const (
	// gcPercent is how much the heap grows between two runs of the garbage collector, in percent. At 100, Go's default, the
	// collector takes a fifth of the processor time of an instance that gathers 90 parts; above 200, the additional memory
	// costs more than the saved processor time is worth.
	gcPercent = 200
	// softMemoryLimitFraction is the fraction of the memory limit above which the garbage collector runs more often.
	softMemoryLimitFraction = 0.7
	// housekeepingInterval is the period of closing idle connections, setting the gauges and reading the settings file.
	housekeepingInterval = time.Second
	// loggedControlDelay is the delay of the control goroutine from which it is logged: a gossip round, after which siblings
	// notice it.
	loggedControlDelay = 250 * time.Millisecond
	// exitReserve is the end of the shutdown grace time that is reserved for the last answers, which take closeTime at most,
	// and the exit of the process.
	exitReserve = 700 * time.Millisecond
	closeTime   = 400 * time.Millisecond
	// replyMemoryFraction and bodyMemoryFraction are the fractions of the memory limit that the replies of targets and the
	// bodies of callers' requests may take, and assumedMemoryMB is the limit that is assumed if none is set.
	replyMemoryFraction = 0.25
	bodyMemoryFraction  = 0.125
	assumedMemoryMB     = 1024
	// ownedSendsPerCore is the number of sends for siblings that a core has at the same time when they take the time that
	// targets need: more would only wait. An instance accepts a few groups at least.
	ownedSendsPerCore = 2000
	minOwnedSends     = 100
	// maxCallerHeaderBytes bounds the header of a caller's request before the operators' limit can be checked.
	maxCallerHeaderBytes = 64 << 10
	// maxOtherHeaderBytes bounds the header of a request of the load balancer or an operator.
	maxOtherHeaderBytes = 16 << 10
	// maxStoreHeaderBytes bounds the header of a reply of the platform's store.
	maxStoreHeaderBytes = 64 << 10
	// postRetryInterval is the time between two attempts to queue an event that must not be lost.
	postRetryInterval = 10 * time.Millisecond
	// drainPollInterval is the time between two checks whether requests are in flight.
	drainPollInterval = 100 * time.Millisecond
)

// Node is one instance on the users' platform.
type Node struct {
	path     string
	settings nodefile.Settings
	config   Config
	out      *linelog.Writer
	log      zerolog.Logger
	loop     *siblinggrpc.RoutingLoop
	siblings *siblinggrpc.Client
	searcher *searcher.Client
	// replyMemory bounds the replies of targets and the gathered answers that are held at the same time, bodyMemory the
	// bodies of requests.
	replyMemory, bodyMemory *traffic.ByteBudget
	store                   *store.Client
	reportedStore           string // the address of the store in the settings file as last reported
	metrics                 *metrics.Metrics
	transfers               transferLog
	recorder                *recorder
	handler                 *front.Handler
	guard                   *front.Guard
	guardLog                guardLog
	forwarder               *traffic.Forwarder

	callersListener, readinessListener, siblingsListener, operatorsListener net.Listener
}

// New reads the settings file at path, listens on its addresses and returns a node that is ready to run. It logs to out.
// It returns ErrListen if an address cannot be used.
func New(path string, c Config, out *linelog.Writer) (*Node, error) {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(out).With().Timestamp().Logger()
	s, err := nodefile.Load(path)
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimitMB) * softMemoryLimitFraction * (1 << 20)))
	}
	now := time.Now()
	// TCP keep-alive is off: each request has a deadline and idle connections are closed soon, so that probes would find
	// nothing, and setting them up takes four system calls per connection.
	dialer := &net.Dialer{KeepAlive: -1}
	n := &Node{
		path: path, settings: s, reportedStore: s.StoreAddress, config: c, out: out, log: log.With().Str("instance", s.Instance).Logger(), metrics: metrics.New(),
		siblings: siblinggrpc.NewClient(), replyMemory: byteBudget(c.ReplyMemoryMB, s.MemoryLimitMB, replyMemoryFraction),
		bodyMemory: byteBudget(c.BodyMemoryMB, s.MemoryLimitMB, bodyMemoryFraction),
	}
	n.transfers.bytes = n.metrics.Scope.Counter(metricValueBytes)
	n.searcher = searcher.New(dialer.DialContext, searcher.Limits{MaxBodyBytes: c.MaxReplyBytes, Memory: n.replyMemory})
	n.recorder = newRecorder(requestlog.New(out, n.log, c.LogLimits), n.metrics)
	storeTransport := &http.Transport{DialContext: dialer.DialContext, MaxResponseHeaderBytes: maxStoreHeaderBytes}
	n.store = store.New(s.StoreAddress, &http.Client{Transport: storeTransport}, func(err error) {
		n.log.Warn().Err(err).Msg("platform: value not understood")
	})
	state := routing.NewState(routing.InstanceConfig{
		ID: s.Instance, Zone: s.Zone, Address: s.SiblingsAddress, Regions: s.Regions, Seeds: s.Seeds, Bounds: s.Bounds,
		Generation: uint64(now.UnixMilli()), FirstStart: s.FirstStart, Cores: s.Cores,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now)
	n.loop = loop.New[routing.Event, routing.Effect, routing.Snapshot](state)
	forwarder := traffic.NewForwarder(traffic.ForwarderSettings{
		Instance: s.Instance, Zone: s.Zone, AnswerMargin: c.AnswerMargin, ReplyMargin: c.ReplyMargin, Siblings: n.siblings,
		MaxOwnedSends: maxOwnedSends(s.Cores), ReplyMemory: n.replyMemory, BodyMemory: n.bodyMemory,
		TargetBodyMemory: int64(c.TargetBodyMemoryMB) << 20,
	}, n.loop, n.searcher, n.recorder)
	n.forwarder = forwarder
	n.handler = front.NewHandler(front.Settings{
		MaxDeadline: c.MaxDeadline, DefaultDeadline: c.DefaultDeadline, DefaultTransitTime: c.DefaultTransitTime,
		BodyMemory: n.bodyMemory,
	}, forwarder, n.loop.Snapshot, n.recordMalformed)
	n.guard = front.NewGuard(connectionLimits(c, s), n.callerLimits)
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

// maxOwnedSends returns how many sends may run for siblings at the same time on a part of a core; 0 means a whole core.
func maxOwnedSends(cores float64) int {
	if cores <= 0 {
		cores = 1
	}
	return max(int(cores*ownedSendsPerCore), minOwnedSends)
}

// byteBudget returns a budget of the given number of megabytes. If that is 0, it is the fraction of the memory limit.
func byteBudget(megabytes, memoryLimitMB int, fraction float64) *traffic.ByteBudget {
	if megabytes > 0 {
		return traffic.NewByteBudget(int64(megabytes) << 20)
	}
	if memoryLimitMB <= 0 {
		memoryLimitMB = assumedMemoryMB
	}
	return traffic.NewByteBudget(int64(float64(memoryLimitMB) * fraction * (1 << 20)))
}

// closeListeners closes the listeners that are open.
func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callersListener, n.readinessListener, n.siblingsListener, n.operatorsListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (n *Node) listen() error {
	type address struct {
		name, address string
		port          front.Port
		listener      *net.Listener
	}
	addresses := []address{
		{"callers", n.settings.CallersAddress, front.PortCallers, &n.callersListener},
		{"readiness", n.settings.ReadinessAddress, front.PortReadiness, &n.readinessListener},
		{"siblings", n.settings.SiblingsAddress, front.PortSiblings, &n.siblingsListener},
	}
	if n.config.MetricsPort != 0 {
		addresses = append(addresses, address{"metrics", net.JoinHostPort(n.settings.HostIP, strconv.Itoa(n.config.MetricsPort)), front.PortOperators, &n.operatorsListener})
	}
	for i, x := range addresses {
		for _, other := range addresses[:i] {
			if other.address == x.address {
				return oops.In("edge").Wrapf(ErrListen, "%s and %s share the address %s", other.name, x.name, x.address)
			}
		}
		l, err := net.Listen("tcp", x.address)
		if err != nil {
			return oops.In("edge").Wrapf(ErrListen, "%s %s: %v", x.name, x.address, err)
		}
		*x.listener = n.guard.Listener(l, x.port)
	}
	return nil
}

// recordMalformed logs and counts a request that is refused as invalid before it reaches the forwarder.
func (n *Node) recordMalformed(id string, r *caller.Refusal) {
	n.recorder.Record(&traffic.Record{ID: id, Outcome: string(r.Code), Message: r.Message})
}

// Run serves until ctx ends, then shuts down gracefully. Each signal from reload makes the instance read the settings file
// again.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	callers := &http.Server{Handler: n.handler, MaxHeaderBytes: maxCallerHeaderBytes, WriteTimeout: front.WriteGrace}
	readiness := &http.Server{Handler: n.guard.Wrap(http.HandlerFunc(n.serveReadiness)), MaxHeaderBytes: maxOtherHeaderBytes}
	operators := &http.Server{Handler: n.guard.Wrap(n.operatorsHandler()), MaxHeaderBytes: maxOtherHeaderBytes}
	for _, s := range []*http.Server{callers, readiness, operators} {
		n.guard.Configure(s)
	}
	peers := grpc.NewServer(append(siblinggrpc.ServerOptions(), siblingLimits(n.settings, n.guard)...)...)
	siblinggrpc.RegisterGossip(peers, n.loop)
	siblinggrpc.RegisterValues(peers, n.loop)
	siblinggrpc.RegisterGatherer(peers, n.forwarder)

	group.Go(func() error { n.loop.Run(work, &executor{ctx: work, node: n}); return nil })
	group.Go(func() error { n.housekeep(work, reload); return nil })
	group.Go(func() error { return ignoreServerClosed(callers.Serve(n.callersListener)) })
	group.Go(func() error { return ignoreServerClosed(readiness.Serve(n.readinessListener)) })
	group.Go(func() error { return peers.Serve(n.siblingsListener) })
	if n.operatorsListener != nil {
		group.Go(func() error { return ignoreServerClosed(operators.Serve(n.operatorsListener)) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.drain(work, callers, peers)
		case <-work.Done():
		}
		for _, s := range []*http.Server{callers, readiness, operators} {
			_ = s.Close()
		}
		peers.Stop()
		n.siblings.Close()
		stopWork()
		return nil
	})
	n.log.Info().Str("callers", n.settings.CallersAddress).Str("zone", n.settings.Zone).Strs("seeds", n.settings.Seeds).Msg("edge: started")
	err := group.Wait()
	_ = n.metrics.Close()
	n.log.Info().Err(err).Msg("edge: stopped")
	return err
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drain shuts the instance down gracefully: it reports unready, serves on for the notice time, then only accepts requests
// that it can answer in time, and closes the servers when no request is in flight. The requests that still run at the end
// of the grace time get the final answer that is possible then.
func (n *Node) drain(ctx context.Context, callers *http.Server, peers *grpc.Server) {
	now := time.Now()
	stop := caller.Stop{NoticeEnds: now.Add(n.config.Notice), Ends: now.Add(max(n.settings.ShutdownGrace-exitReserve, n.config.Notice+time.Second))}
	n.log.Info().Dur("notice", n.config.Notice).Time("ends", stop.Ends).Msg("edge: stopping")
	n.post(ctx, routing.Leaving{Stop: stop})
	running, cancel := context.WithDeadline(ctx, stop.Ends)
	defer cancel()
	shutdown.Sleep(running, n.config.Notice)
	n.awaitIdle(running)
	shutdown.AwaitQuiet(running, n.handler.LastArrival)
	n.forwarder.RefuseAll()
	n.post(ctx, routing.Drained{})
	n.awaitIdle(running)
	if left := n.handler.InFlight() + n.forwarder.OwnedSends(); left > 0 {
		n.log.Warn().Int64("running", left).Msg("edge: requests end with the grace time")
	}
	n.forwarder.EndRunning()
	closing, cancel := context.WithTimeout(ctx, closeTime)
	defer cancel()
	if err := callers.Shutdown(closing); err != nil {
		n.log.Warn().Err(err).Int64("running", n.handler.InFlight()).Msg("edge: callers' connections are closed before their requests have ended")
	}
	stopPeers := context.AfterFunc(closing, peers.Stop)
	defer stopPeers()
	peers.GracefulStop()
}

// awaitIdle waits until no request is in flight and nothing runs for siblings.
func (n *Node) awaitIdle(ctx context.Context) {
	for n.handler.InFlight()+n.forwarder.OwnedSends() > 0 && ctx.Err() == nil {
		shutdown.Sleep(ctx, drainPollInterval)
	}
}

// serveReadiness answers the load balancer's readiness checks.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.loop.Snapshot().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		text, err := n.metrics.Text()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(text)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, r *http.Request) {
		dump, err := loop.Ask(r.Context(), n.loop, func(reply chan<- routing.Dump) routing.Event {
			return routing.TakeDump{Reply: reply}
		})
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(dump)
	})
	mux.HandleFunc("GET /where", n.serveWhere)
	return mux
}

// housekeep closes idle connections, sets the gauges and reloads the settings file, periodically and, for the settings
// file, also on a signal.
func (n *Node) housekeep(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			n.reloadSettings("signal")
		case <-ticker.C:
			n.searcher.Sweep(time.Now())
			n.updateGauges()
			n.updateAdmissionGauges()
			n.updateGuard(time.Now())
			n.reloadSettings("file")
		}
	}
}

// reloadSettings applies changed settings. Changed addresses take effect only after a restart. If the file is invalid, the
// error is logged and the previous settings stay in force.
func (n *Node) reloadSettings(cause string) {
	s, err := nodefile.Load(n.path)
	if err != nil {
		n.log.Warn().Err(err).Str("cause", cause).Msg("edge: settings refused, the earlier ones stay")
		return
	}
	if s.StoreAddress != n.reportedStore {
		n.reportedStore = s.StoreAddress
		n.log.Warn().Str("cause", cause).Str("in_use", n.settings.StoreAddress).Str("left_out", s.StoreAddress).
			Msg("edge: another address of the platform's store takes effect with a restart")
	}
	if equalReloadable(s, n.settings) {
		return
	}
	n.settings.Seeds, n.settings.Bounds, n.settings.ShutdownGrace = s.Seeds, s.Bounds, s.ShutdownGrace
	n.loop.Post(routing.Reconfigured{Seeds: s.Seeds, Bounds: s.Bounds})
	n.log.Info().Str("cause", cause).Strs("seeds", s.Seeds).Msg("edge: settings reloaded")
}

// equalReloadable reports whether the settings that take effect without a restart are equal.
func equalReloadable(a, b nodefile.Settings) bool {
	return a.Bounds == b.Bounds && a.ShutdownGrace == b.ShutdownGrace && slices.Equal(a.Seeds, b.Seeds)
}

// updateGauges sets the gauges from the control state and the logs.
func (n *Node) updateGauges() {
	scope, s := n.metrics.Scope, n.loop.Snapshot()
	scope.Gauge(metricLogOmitted).Update(float64(n.recorder.Omitted()))
	scope.Gauge(metricLogLinesDropped).Update(float64(n.out.Dropped()))
	scope.Gauge(metricLoopEventsDropped).Update(float64(n.loop.Dropped()))
	n.reportControlDelays()
	n.reportTransfers()
	scope.Gauge(metricReplyBytesHeld).Update(float64(n.replyMemory.Used()))
	scope.Gauge(metricBodyBytesHeld).Update(float64(n.bodyMemory.Used()))
	scope.Gauge(metricUnreadAnswers).Update(float64(n.handler.UnreadAnswers()))
	scope.Gauge(metricInvalidLoads).Update(float64(n.forwarder.InvalidLoads()))
	scope.Gauge(metricMembers).Update(float64(s.MemberCount))
	scope.Gauge(metricStoreRevision).Update(float64(s.Position.Revision))
	scope.Gauge(metricStoreEra).Update(float64(s.Position.History.Era))
	scope.Gauge(metricStoreRewinds).Update(float64(s.Position.History.Rewind))
	scope.Gauge(metricValuesRetained).Update(float64(s.Retained))
	scope.Gauge(metricStoreReplyRevision).Update(float64(s.StoreRevision))
	scope.Gauge(metricReadsLeftOut).Update(float64(s.ReadsLeftOut))
	if !s.ValuesChangedAt.IsZero() {
		scope.Gauge(metricValuesAge).Update(time.Since(s.ValuesChangedAt).Seconds())
	}
	if s.Routing != nil {
		scope.Gauge(metricRoutingVersion).Update(float64(s.Routing.Version))
	}
	for name, v := range s.Services {
		tagged := scope.Tagged(map[string]string{tagService: name})
		tagged.Gauge(metricUsableTargets).Update(float64(len(v.Targets)))
		age, reporting := meanLoadAge(v.Targets, time.Now())
		tagged.Gauge(metricLoadReportAge).Update(age.Seconds())
		tagged.Gauge(metricTargetsReporting).Update(float64(reporting))
		paced := 0
		for _, t := range v.Targets {
			if _, ok := t.Stats.Paced(); ok {
				paced++
			}
		}
		tagged.Gauge(metricPacedTargets).Update(float64(paced))
	}
	for name, g := range s.RateLimiters {
		requested, refused := g.RequestCounts()
		tagged := scope.Tagged(map[string]string{tagOrganisation: name})
		tagged.Gauge(metricRateRequested).Update(float64(requested))
		tagged.Gauge(metricRateRefused).Update(float64(refused))
	}
}

// reportControlDelays sets the gauges of how late the control goroutine acted since the last call, and logs long delays.
func (n *Node) reportControlDelays() {
	d := n.loop.Delays()
	n.metrics.Scope.Gauge(metricControlWait).Update(d.Wait.Seconds())
	n.metrics.Scope.Gauge(metricControlStep).Update(d.Step.Seconds())
	if max(d.Wait, d.Step) >= loggedControlDelay {
		n.log.Warn().Int64("wait_ms", d.Wait.Milliseconds()).Int64("step_ms", d.Step.Milliseconds()).Msg("control: late")
	}
}

// meanLoadAge returns the mean age of the load reports of the targets that reported their load lately, and their number.
func meanLoadAge(all []*targets.Target, now time.Time) (mean time.Duration, reporting int) {
	var sum time.Duration
	for _, t := range all {
		if age, ok := t.Stats.LoadAge(now); ok {
			sum += age
			reporting++
		}
	}
	return sum / time.Duration(max(reporting, 1)), reporting
}

// updateAdmissionGauges sets the gauges of what waits and what the admission refuses, by rank.
func (n *Node) updateAdmissionGauges() {
	scope := func(rank int) tally.Scope {
		return n.metrics.Scope.Tagged(map[string]string{tagRank: strconv.Itoa(rank)})
	}
	starts, parts := n.forwarder.Waiting()
	for rank, count := range starts {
		scope(rank).Gauge(metricWaitingStarts).Update(float64(count))
	}
	for rank, count := range parts {
		scope(rank).Gauge(metricWaitingParts).Update(float64(count))
	}
	for rank, cut := range n.forwarder.Cuts() {
		scope(rank).Gauge(metricAdmissionCut).Update(cut)
	}
	for rank, reasons := range n.forwarder.Refused() {
		for reason, count := range reasons {
			scope(rank).Tagged(map[string]string{tagReason: string(reason)}).Gauge(metricAdmissionRefused).Update(float64(count))
		}
	}
}

// executor carries out control's effects. Those that wait for I/O each run on their own goroutine.
type executor struct {
	ctx  context.Context
	node *Node
}

// Execute starts the effect and returns without waiting for its outcome.
func (x *executor) Execute(e routing.Effect) {
	switch e := e.(type) {
	case routing.ReadStore:
		go x.readStore(e)
	case routing.SendGossip:
		go x.exchangeGossip(e)
	case routing.FetchValues:
		go x.fetchValues(e)
	case routing.LogStateChange:
		x.node.recorder.LogStateChange(e.Subject, e.Name, e.Service, e.Old, e.New, e.Source)
	case routing.LogTargetChanges:
		x.node.recorder.logTargetChanges(e)
	}
}

func (x *executor) readStore(e routing.ReadStore) {
	update, err := x.node.store.Read(x.ctx, e)
	x.node.post(x.ctx, routing.StoreRead{Update: update, Err: err, Reconnected: x.node.store.Reconnected()})
}

func (x *executor) exchangeGossip(e routing.SendGossip) {
	ctx, cancel := context.WithTimeout(x.ctx, siblinggrpc.GossipTimeout)
	defer cancel()
	reply, err := x.node.siblings.ExchangeGossip(ctx, e.Address, e.Message)
	if err != nil {
		x.node.post(x.ctx, routing.GossipFailed{Address: e.Address, Err: err})
		return
	}
	x.node.post(x.ctx, routing.GossipReceived{Message: reply})
}

// fetchValues fetches values from a sibling and decodes them, so that control only has to put them in force.
func (x *executor) fetchValues(e routing.FetchValues) {
	started := time.Now()
	update, err := x.node.siblings.FetchValues(x.ctx, e, func() { x.node.loop.Post(routing.ValuesProgressed{Address: e.Address}) })
	x.node.transfers.record(update.EncodedBytes, time.Since(started), err)
	if err != nil {
		x.node.post(x.ctx, routing.ValuesFailed{Address: e.Address, Err: err})
		return
	}
	x.node.post(x.ctx, routing.ValuesReceived{Address: e.Address, Update: update})
}

// post queues an event that must not be lost, and retries while the queue is full: control starts the next read of the store
// only after the outcome of the previous read, and a stop must begin.
func (n *Node) post(ctx context.Context, e routing.Event) {
	for !n.loop.Post(e) {
		shutdown.Sleep(ctx, postRetryInterval)
		if ctx.Err() != nil {
			return
		}
	}
}
