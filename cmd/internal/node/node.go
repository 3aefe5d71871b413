// Package node wires an entry instance together: sockets, the control loop, the request path and the
// execution of control's effects.
package node

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/caller/callerhttp"
	"dogwooddrift.org/drift/cmd/internal/metrics"
	"dogwooddrift.org/drift/cmd/internal/requestlog"
	"dogwooddrift.org/drift/cmd/internal/settings"
	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/document/documenthttp"
	"dogwooddrift.org/drift/operator"
	"dogwooddrift.org/drift/operator/operatorhttp"
	"dogwooddrift.org/drift/sibling/siblinggrpc"
	"dogwooddrift.org/drift/targets/targetshttp"
	"dogwooddrift.org/drift/traffic"
)

// ErrListen means that an address of the settings cannot be used.
var ErrListen = errors.New("cannot listen")

// Node is one entry instance.
type Node struct {
	settings  settings.Settings
	log       zerolog.Logger
	loop      *control.Loop
	tier      *traffic.QueryTier
	targets   *targetshttp.Client
	transport *targetshttp.Transport
	siblings  *siblinggrpc.Client
	receiver  *siblinggrpc.Receiver
	platform  *documenthttp.Client
	metrics   *metrics.Metrics
	requests  *requestlog.Log
	// handOvers counts the messages with records of changes that are under way.
	handOvers pending

	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

const (
	idleConnectionTimeout = 90 * time.Second
	connectTimeout        = time.Second
	readHeaderTimeout     = 5 * time.Second
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes how New builds a node.
type Option func(*options)

type options struct {
	dial     Dial
	requests io.Writer
}

// WithDial makes the node open all its connections with dial. Deployments in one process use it to emulate the
// network between zones.
func WithDial(dial Dial) Option { return func(o *options) { o.dial = dial } }

// WithRequestLog makes the node log its decisions about requests to out, which must not block. Without it they are not
// logged.
func WithRequestLog(out io.Writer) Option { return func(o *options) { o.requests = out } }

// New binds the addresses of the settings and returns a node that is ready to run.
func New(s settings.Settings, log zerolog.Logger, opts ...Option) (*Node, error) {
	o := options{dial: (&net.Dialer{}).DialContext}
	for _, option := range opts {
		option(&o)
	}
	dial := o.dial
	n := &Node{
		settings: s,
		log:      log.With().Str("instance", s.ID).Logger(),
		siblings: siblinggrpc.NewClient(grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, "tcp", address)
		})),
		metrics: metrics.New(),
	}
	n.transport = &targetshttp.Transport{New: func() *http.Transport {
		return &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, connectTimeout)
				defer cancel()
				return dial(ctx, network, address)
			},
			IdleConnTimeout: idleConnectionTimeout,
		}
	}}
	n.targets = targetshttp.New(&http.Client{Transport: n.transport})
	n.targets.SetReporter(n)
	n.platform = documenthttp.New(s.Platform, &http.Client{Transport: &http.Transport{DialContext: dial}})
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.loop = control.NewLoop(control.NewState(control.Identity{
		ID: s.ID, Zone: s.Zone, Seeds: s.Siblings,
		StaticRates: s.Policy.Rates == "static", RandomReplica: s.Policy.Replica == "random", NoHedge: s.Policy.Hedge == "off",
	}, rng))
	n.receiver = siblinggrpc.NewReceiver(n.loop)
	n.tier = traffic.New(n.loop, n.siblings, n.targets, s.Queue.Limits())
	if o.requests == nil {
		n.requests = requestlog.New(io.Discard, n.log, requestlog.Limits{})
	} else {
		n.requests = requestlog.New(o.requests, n.log, requestlog.Limits{FailuresPerSecond: s.Log.Failures, SuccessesPerSecond: s.Log.Successes})
	}
	n.tier.SetRecorder(n.requests)
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&n.callers, s.Listen.Callers}, {&n.peers, s.Listen.Siblings}, {&n.operators, s.Listen.Operators}} {
		var err error
		if *l.listener, err = net.Listen("tcp", l.address); err != nil {
			n.closeListeners()
			return nil, oops.In("node").Wrapf(ErrListen, "%s: %v", l.address, err)
		}
	}
	return n, nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callers, n.peers, n.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// CallersAddress returns the address that callers use.
func (n *Node) CallersAddress() string { return n.callers.Addr().String() }

// SiblingsAddress returns the address that siblings use.
func (n *Node) SiblingsAddress() string { return n.peers.Addr().String() }

// OperatorsAddress returns the address that operators use.
func (n *Node) OperatorsAddress() string { return n.operators.Addr().String() }

// Instance returns the entry of the platform's list that describes this node.
func (n *Node) Instance() document.Instance {
	return document.Instance{
		ID: n.settings.ID, Kind: document.KindEntry, Zone: n.settings.Zone, Address: n.CallersAddress(),
		PeerAddress: n.peers.Addr().String(), State: document.StateLive,
	}
}

// Run serves until ctx ends, then stops gracefully: unready first, then no new work, then running requests
// finish. abort, when it ends, cuts the stop short.
func (n *Node) Run(ctx, abort context.Context) error {
	work, stopWork := context.WithCancel(abort)
	defer stopWork()
	group, work := errgroup.WithContext(work)
	callers := &http.Server{Handler: callerhttp.NewHandler(metered{n.tier, n.metrics.Scope}, callerhttp.OnMalformed(n.malformed)), ReadHeaderTimeout: readHeaderTimeout}
	operators := &http.Server{Handler: operatorhttp.NewHandler(n), ReadHeaderTimeout: readHeaderTimeout}
	peers := grpc.NewServer()
	siblinggrpc.Register(peers, n.loop, n.receiver)
	siblinggrpc.RegisterNotices(peers, n.loop)
	siblinggrpc.RegisterTokens(peers, n.loop)
	siblinggrpc.RegisterChanges(peers, n.loop, n.tier)

	exec := newExecutor(work, n)
	group.Go(func() error { n.loop.Run(work, exec); return nil })
	group.Go(func() error { n.sampleMetrics(work); return nil })
	group.Go(func() error { return ignoreClosed(callers.Serve(n.callers)) })
	group.Go(func() error { return ignoreClosed(operators.Serve(n.operators)) })
	group.Go(func() error { return peers.Serve(n.peers) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		n.drain(abort, callers, peers)
		_ = operators.Close()
		peers.Stop()
		n.siblings.Close()
		stopWork()
		return nil
	})
	n.log.Info().Str("callers", n.CallersAddress()).Str("operators", n.OperatorsAddress()).Msg("node: started")
	err := group.Wait()
	exec.wait()
	_ = n.metrics.Close()
	n.log.Info().Msg("node: stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// malformed logs a request that the tier does not see.
func (n *Node) malformed(id string, r *caller.Refusal) {
	n.requests.Record(&traffic.Record{ID: id, Outcome: string(r.Code), Message: r.Message})
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Dump returns the control state.
func (n *Node) Dump(ctx context.Context) (operator.Dump, error) {
	dump, err := control.Ask(ctx, n.loop, func(reply chan<- operator.Dump) control.Event {
		return control.TakeDump{Reply: reply}
	})
	dump.EventsDropped = n.loop.Dropped()
	return dump, err
}

// Metrics returns the metrics in the Prometheus text format.
func (n *Node) Metrics() ([]byte, error) {
	return n.metrics.Text()
}
