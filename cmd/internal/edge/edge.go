// Package edge wires an instance on the users' platform together: the settings file, sockets, the control loop, the
// request path, the execution of control's effects, and the planned stop.
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
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/cmd/internal/linelog"
	"dogwooddrift.org/drift/cmd/internal/metrics"
	"dogwooddrift.org/drift/cmd/internal/requestlog"
	"dogwooddrift.org/drift/control/loop"
	"dogwooddrift.org/drift/platform/front"
	"dogwooddrift.org/drift/platform/nodefile"
	"dogwooddrift.org/drift/platform/searcher"
	"dogwooddrift.org/drift/platform/store"
	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/sibling/siblinggrpc"
	"dogwooddrift.org/drift/traffic"
)

// ErrListen means that an address of the settings cannot be used.
var ErrListen = errors.New("cannot listen")

// Config holds the figures that the settings file does not state.
type Config struct {
	// MetricsPort is the port of metrics and dump on the machine's address, 0 for none.
	MetricsPort int
	// AnswerMargin and ReplyMargin are those of traffic.ForwarderSettings.
	AnswerMargin, ReplyMargin time.Duration
	// MaxDeadline, DefaultDeadline and DefaultTransitTime are MaxDeadline, DefaultDeadline and DefaultTransitTime of front.Settings.
	MaxDeadline, DefaultDeadline, DefaultTransitTime time.Duration
	// Notice is how long the instance serves on after SIGTERM, until the balancer has noticed that it is not ready.
	Notice    time.Duration
	LogLimits requestlog.Limits
}

// DefaultConfig returns the figures in use.
func DefaultConfig() Config {
	return Config{
		MetricsPort: 9464,
		// Timers and processes run some milliseconds late on instances with a part of a core.
		AnswerMargin: 5 * time.Millisecond,
		ReplyMargin:  2 * time.Millisecond,
		// Two round trips in the slower of today's regions.
		DefaultTransitTime: 12 * time.Millisecond,
		MaxDeadline:        time.Hour, DefaultDeadline: 30 * time.Second,
		// The balancer asks each second and takes an instance out after two misses.
		Notice:    2500 * time.Millisecond,
		LogLimits: requestlog.Limits{FailuresPerSecond: 100, SuccessesPerSecond: 10},
	}
}

const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is above the idle times that operators allow callers.
	idleTimeout = 2 * time.Minute
	// collectorPercent is how much the heap grows between two runs of the collector, in percent. At 100, the default, the
	// collector took a fifth of the processor time of an instance that gathers 90 parts; above 200 memory costs more than
	// it brings.
	collectorPercent = 200
	// memoryPart is the part of the memory limit at which the collector works harder.
	memoryPart = 0.7
	// housekeeping is the time between two looks at idle connections, metrics and the settings file.
	housekeeping = time.Second
	// stopReserve is the part of the grace time that is kept for the exit itself.
	stopReserve = 700 * time.Millisecond
	// quietTime without a request must pass before the listener closes: closing it resets connections that the
	// kernel accepted and the process did not.
	quietTime = 100 * time.Millisecond
)

// Node is one instance.
type Node struct {
	path     string
	settings nodefile.Settings
	config   Config
	out      *linelog.Writer
	log      zerolog.Logger
	loop     *siblinggrpc.RoutingLoop
	siblings *siblinggrpc.Client
	searcher *searcher.Client
	store    *store.Client
	metrics  *metrics.Metrics
	recorder *recorder
	handler  *front.Handler

	callers, readiness, peers, operators net.Listener
}

// New binds the addresses of the settings file at path and returns a node that is ready to run. It logs to out.
func New(path string, c Config, out *linelog.Writer) (*Node, error) {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(out).With().Timestamp().Logger()
	s, err := nodefile.Load(path)
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(collectorPercent)
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimitMB) * memoryPart * (1 << 20)))
	}
	now := time.Now()
	// Each request has a deadline and idle connections are closed soon, so that probes would find nothing; setting them up
	// takes four system calls a connection.
	dialer := &net.Dialer{KeepAlive: -1}
	n := &Node{
		path: path, settings: s, config: c, out: out, log: log.With().Str("instance", s.Instance).Logger(), metrics: metrics.New(),
		siblings: siblinggrpc.NewClient(), searcher: searcher.New(dialer.DialContext),
	}
	n.recorder = newRecorder(requestlog.New(out, n.log, c.LogLimits), n.metrics)
	n.store = store.New(s.StoreAddress, &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}, func(err error) {
		n.log.Warn().Err(err).Msg("platform: value not understood")
	})
	state := routing.NewState(routing.InstanceConfig{
		ID: s.Instance, Zone: s.Zone, Address: s.SiblingsAddress, Regions: s.Regions, Seeds: s.Seeds, Bounds: s.Bounds,
		Generation: uint64(now.UnixMilli()), FirstStart: s.FirstStart,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now)
	n.loop = loop.New[routing.Event, routing.Effect, routing.Snapshot](state)
	forwarder := traffic.NewForwarder(traffic.ForwarderSettings{
		Zone: s.Zone, AnswerMargin: c.AnswerMargin, ReplyMargin: c.ReplyMargin,
	}, n.loop, n.searcher, n.recorder)
	n.handler = front.NewHandler(front.Settings{MaxDeadline: c.MaxDeadline, DefaultDeadline: c.DefaultDeadline, DefaultTransitTime: c.DefaultTransitTime}, forwarder,
		n.loop.Snapshot, n.malformed)
	return n, n.listen()
}

func (n *Node) listen() error {
	addresses := map[string]*net.Listener{
		n.settings.CallersAddress: &n.callers, n.settings.ReadinessAddress: &n.readiness, n.settings.SiblingsAddress: &n.peers,
	}
	if n.config.MetricsPort != 0 {
		addresses[net.JoinHostPort(n.settings.HostIP, strconv.Itoa(n.config.MetricsPort))] = &n.operators
	}
	for address, listener := range addresses {
		var err error
		if *listener, err = net.Listen("tcp", address); err != nil {
			return oops.In("edge").Wrapf(ErrListen, "%s: %v", address, err)
		}
	}
	return nil
}

func (n *Node) malformed(id string, r *caller.Refusal) {
	n.recorder.Record(&traffic.Record{ID: id, Outcome: string(r.Code), Message: r.Message})
}

// Run serves until ctx ends, then stops gracefully. reload asks for another look at the settings file.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	callers := &http.Server{Handler: n.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ConnContext: front.ConnContext}
	readiness := &http.Server{Handler: http.HandlerFunc(n.ready), ReadHeaderTimeout: readHeaderTimeout}
	operators := &http.Server{Handler: n.operatorsHandler(), ReadHeaderTimeout: readHeaderTimeout}
	peers := grpc.NewServer()
	siblinggrpc.RegisterGossip(peers, n.loop)

	group.Go(func() error { n.loop.Run(work, &executor{ctx: work, node: n}); return nil })
	group.Go(func() error { n.housekeep(work, reload); return nil })
	group.Go(func() error { return ignoreClosed(callers.Serve(n.callers)) })
	group.Go(func() error { return ignoreClosed(readiness.Serve(n.readiness)) })
	group.Go(func() error { return peers.Serve(n.peers) })
	if n.operators != nil {
		group.Go(func() error { return ignoreClosed(operators.Serve(n.operators)) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.drain(callers)
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

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drain performs the planned stop: not ready, serving on until the balancer has noticed, then no new connections,
// and running requests finish.
func (n *Node) drain(callers *http.Server) {
	n.log.Info().Dur("notice", n.config.Notice).Msg("edge: stopping")
	n.loop.Post(routing.Leaving{})
	limit, cancel := context.WithTimeout(context.Background(), max(n.settings.ShutdownGrace-stopReserve, n.config.Notice+time.Second))
	defer cancel()
	pause(limit, n.config.Notice)
	for n.handler.InFlight() > 0 && limit.Err() == nil {
		pause(limit, quietTime)
	}
	if err := callers.Shutdown(limit); err != nil {
		n.log.Warn().Int64("running", n.handler.InFlight()).Msg("edge: requests were still running at the end of the grace time")
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ready answers the balancer.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
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
	return mux
}

// housekeep closes idle connections, sets the gauges, and looks for changed settings, also without a signal.
func (n *Node) housekeep(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			n.reload("signal")
		case <-ticker.C:
			n.searcher.Sweep(time.Now())
			n.sample()
			n.reload("file")
		}
	}
}

// reload takes over changed settings. Addresses need a restart; what is invalid is refused and logged.
func (n *Node) reload(cause string) {
	s, err := nodefile.Load(n.path)
	if err != nil {
		n.log.Warn().Err(err).Str("cause", cause).Msg("edge: settings refused, the earlier ones stay")
		return
	}
	if equalSettings(s, n.settings) {
		return
	}
	n.settings.Seeds, n.settings.Bounds, n.settings.ShutdownGrace = s.Seeds, s.Bounds, s.ShutdownGrace
	n.loop.Post(routing.Reconfigured{Seeds: s.Seeds, Bounds: s.Bounds})
	n.log.Info().Str("cause", cause).Strs("seeds", s.Seeds).Msg("edge: settings reloaded")
}

// equalSettings reports whether the settings that take effect without a restart are the same.
func equalSettings(a, b nodefile.Settings) bool {
	return a.Bounds == b.Bounds && a.ShutdownGrace == b.ShutdownGrace && slices.Equal(a.Seeds, b.Seeds)
}

// sample sets the gauges that show the control state.
func (n *Node) sample() {
	scope, s := n.metrics.Scope, n.loop.Snapshot()
	scope.Gauge(metricLeftOut).Update(float64(n.recorder.Omitted()))
	scope.Gauge(metricDropped).Update(float64(n.out.Dropped()))
	scope.Gauge(metricLoopDrops).Update(float64(n.loop.Dropped()))
	scope.Gauge(metricMembers).Update(float64(s.MemberCount))
	scope.Gauge(metricRevision).Update(float64(s.Revision))
	if s.Routing != nil {
		scope.Gauge(metricVersion).Update(float64(s.Routing.Version))
	}
	for name, v := range s.Services {
		scope.Tagged(map[string]string{tagService: name}).Gauge(metricUsable).Update(float64(len(v.Targets)))
	}
	for name, g := range s.RateLimiters {
		asked, refused := g.RequestCounts()
		tagged := scope.Tagged(map[string]string{tagOrganisation: name})
		tagged.Gauge(metricAsked).Update(float64(asked))
		tagged.Gauge(metricRefused).Update(float64(refused))
	}
}

// executor carries out the effects of control outside of the control goroutine.
type executor struct {
	ctx  context.Context
	node *Node
}

// Execute starts an effect.
func (x *executor) Execute(e routing.Effect) {
	switch e := e.(type) {
	case routing.ReadStore:
		go x.read(e)
	case routing.SendGossip:
		go x.exchange(e)
	case routing.LogStateChange:
		x.node.recorder.LogStateChange(e.Subject, e.Name, e.Old, e.New, e.Source)
	}
}

func (x *executor) read(e routing.ReadStore) {
	update, err := x.node.store.Read(x.ctx, e)
	x.post(routing.StoreRead{Update: update, Err: err})
}

func (x *executor) exchange(e routing.SendGossip) {
	ctx, cancel := context.WithTimeout(x.ctx, siblinggrpc.GossipTimeout)
	defer cancel()
	heard, err := x.node.siblings.ExchangeGossip(ctx, e.Address, e.Message)
	if err != nil {
		x.post(routing.GossipFailed{Address: e.Address, Err: err})
		return
	}
	x.post(routing.GossipReceived{Message: heard})
}

// post waits for room in the queue: a lost outcome of a read would end reading.
func (x *executor) post(e routing.Event) {
	for !x.node.loop.Post(e) {
		pause(x.ctx, 10*time.Millisecond)
		if x.ctx.Err() != nil {
			return
		}
	}
}
