// Package node assembles an entry instance: listeners, the control loop, the request path, the executor of control
// effects, and graceful shutdown.
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

// ErrListen means that the instance cannot listen on an address in the settings.
var ErrListen = errors.New("cannot listen")

// Node is one entry instance.
type Node struct {
	settings   settings.Settings
	log        zerolog.Logger
	loop       *control.Loop
	tier       *traffic.QueryTier
	targets    *targetshttp.Client
	transport  *targetshttp.Transport
	siblings   *siblinggrpc.Client
	receiver   *siblinggrpc.Receiver
	platform   *documenthttp.Client
	metrics    *metrics.Metrics
	requestLog *requestlog.Log
	// handOversInFlight counts the change-record messages to siblings that control started and that have not ended.
	handOversInFlight inFlightCounter

	callersListener   net.Listener
	siblingsListener  net.Listener
	operatorsListener net.Listener
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
	dial       Dial
	requestLog io.Writer
}

// WithDial makes the node open all its connections with dial. Deployments that run in one process use it to emulate
// the network between zones.
func WithDial(dial Dial) Option { return func(o *options) { o.dial = dial } }

// WithRequestLog makes the node log requests to out, which must not block. Without this option, requests are not
// logged.
func WithRequestLog(out io.Writer) Option { return func(o *options) { o.requestLog = out } }

// New listens on the addresses in the settings and returns a node that is ready to run. It returns ErrListen if an
// address cannot be used.
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
	if o.requestLog == nil {
		n.requestLog = requestlog.New(io.Discard, n.log, requestlog.Limits{})
	} else {
		n.requestLog = requestlog.New(o.requestLog, n.log, requestlog.Limits{FailuresPerSecond: s.Log.Failures, SuccessesPerSecond: s.Log.Successes})
	}
	n.tier.SetRecorder(n.requestLog)
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&n.callersListener, s.Listen.Callers}, {&n.siblingsListener, s.Listen.Siblings}, {&n.operatorsListener, s.Listen.Operators}} {
		var err error
		if *l.listener, err = net.Listen("tcp", l.address); err != nil {
			n.closeListeners()
			return nil, oops.In("node").Wrapf(ErrListen, "%s: %v", l.address, err)
		}
	}
	return n, nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callersListener, n.siblingsListener, n.operatorsListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// CallersAddress returns the address for callers' requests.
func (n *Node) CallersAddress() string { return n.callersListener.Addr().String() }

// SiblingsAddress returns the address for siblings' RPCs.
func (n *Node) SiblingsAddress() string { return n.siblingsListener.Addr().String() }

// OperatorsAddress returns the address of the operators' interface.
func (n *Node) OperatorsAddress() string { return n.operatorsListener.Addr().String() }

// Instance returns this node's entry for the platform's instance list.
func (n *Node) Instance() document.Instance {
	return document.Instance{
		ID: n.settings.ID, Kind: document.KindEntry, Zone: n.settings.Zone, Address: n.CallersAddress(),
		PeerAddress: n.siblingsListener.Addr().String(), State: document.StateLive,
	}
}

// Run serves until ctx ends, then shuts down gracefully: the node first reports unready, then refuses new requests, then
// waits for the requests in flight. The end of abort cuts the shutdown short.
func (n *Node) Run(ctx, abort context.Context) error {
	work, stopWork := context.WithCancel(abort)
	defer stopWork()
	group, work := errgroup.WithContext(work)
	callers := &http.Server{Handler: callerhttp.NewHandler(meteredTier{n.tier, n.metrics.Scope}, callerhttp.OnMalformed(n.recordMalformed)), ReadHeaderTimeout: readHeaderTimeout}
	operators := &http.Server{Handler: operatorhttp.NewHandler(n), ReadHeaderTimeout: readHeaderTimeout}
	peers := grpc.NewServer(siblinggrpc.ServerOptions()...)
	siblinggrpc.Register(peers, n.loop, n.receiver)
	siblinggrpc.RegisterNotices(peers, n.loop)
	siblinggrpc.RegisterTokens(peers, n.loop)
	siblinggrpc.RegisterChanges(peers, n.loop, n.tier)

	exec := newExecutor(work, n)
	group.Go(func() error { n.loop.Run(work, exec); return nil })
	group.Go(func() error { n.updateGaugesUntilDone(work); return nil })
	group.Go(func() error { return ignoreServerClosed(callers.Serve(n.callersListener)) })
	group.Go(func() error { return ignoreServerClosed(operators.Serve(n.operatorsListener)) })
	group.Go(func() error { return peers.Serve(n.siblingsListener) })
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

// recordMalformed logs a malformed request, which is refused before it reaches the query tier.
func (n *Node) recordMalformed(id string, r *caller.Refusal) {
	n.requestLog.Record(&traffic.Record{ID: id, Outcome: string(r.Code), Message: r.Message})
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Dump returns a dump of the control state.
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
