package traffic

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
	"dogwooddrift.org/drift/targets/targetshttp"
)

const testKey = "key"

// fleet is a set of instances with one target. They run in one process and call each other directly instead of over gRPC.
type fleet struct {
	t       *testing.T
	nodes   map[string]*testNode
	client  *targetshttp.Client
	targets targets.View

	mu   sync.Mutex
	list *document.InstanceList
	runs map[string]int // by idempotency key
	// delivered counts the calls that the called instance has carried out, by method.
	delivered map[string]int
	// loseCall decides for each call of a method whether the request or the reply is lost.
	loseCall func(method string) (request, reply bool)
}

// testNode is one instance of a fleet.
type testNode struct {
	fleet *fleet
	id    string
	loop  *control.Loop
	tier  *QueryTier
	dead  chan struct{}
	kill  func()
	pools map[string]*caller.TokenPool
}

func testDocument(revision document.Revision, key string) *document.Document {
	return &document.Document{
		Revision: revision,
		Organisations: []document.Organisation{{
			Name: "o", IsHost: true, Rate: 1e6, Burst: 1e6, Weight: 1, Keys: []document.Key{{ID: "k", SHA256: caller.Digest(key)}},
		}},
		Services:  []document.Service{{Name: "s", Slots: 100, MaxConnections: 100}},
		Zones:     []document.Zone{{Name: "z", RateFraction: 1}},
		Isolation: document.Isolation{KeyedLimit: 60}, ChangeWindow: 60,
	}
}

// newFleet returns a fleet whose instances take part as home and witness of changes.
func newFleet(t *testing.T, ids ...string) *fleet {
	f := newStartingFleet(t, ids...)
	f.awaitServing(ids...)
	return f
}

// awaitServing waits until each instance takes part as home and witness: a new instance declines changes until it has the
// records of its siblings, and the sender forwards a declined change again.
func (f *fleet) awaitServing(ids ...string) {
	for _, id := range ids {
		n, key := f.nodes[id], f.unusedKeyOf(id)
		f.eventually(func() bool {
			result, err := n.BeginChange(key, sibling.BodyDigest{})
			if err != nil || result.Verdict != sibling.VerdictNew {
				return false
			}
			result.Record.Outcome = sibling.OutcomeNotRun
			_, err = n.FinishChange(result.Record)
			return err == nil
		})
	}
}

// unusedKeyOf returns the key of a change that no test sends and whose home is the given instance.
func (f *fleet) unusedKeyOf(home string) sibling.ChangeKey {
	members := f.nodes[home].loop.Snapshot().ChangeMembers
	key := firstKey("unused-", func(key sibling.ChangeKey) bool {
		first, _ := members.HomeOf(key)
		return first.ID == home
	})
	return sibling.NewChangeKey("o", "s", key)
}

// firstKey returns the first idempotency key with a prefix whose change key is accepted.
func firstKey(prefix string, accept func(sibling.ChangeKey) bool) string {
	for i := 0; ; i++ {
		if key := fmt.Sprint(prefix, i); accept(sibling.NewChangeKey("o", "s", key)) {
			return key
		}
	}
}

// newStartingFleet returns a fleet whose instances know their list but may still wait for each other's records.
func newStartingFleet(t *testing.T, ids ...string) *fleet {
	f := &fleet{
		t: t, nodes: map[string]*testNode{}, runs: map[string]int{}, delivered: map[string]int{}, list: &document.InstanceList{},
		loseCall: func(string) (bool, bool) { return false, false },
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.runs[r.Header.Get(targetshttp.HeaderIdempotencyKey)]++
		f.mu.Unlock()
		w.Header().Set(targetshttp.HeaderRequestID, r.Header.Get(targetshttp.HeaderRequestID))
		_, _ = w.Write([]byte("done"))
	}))
	t.Cleanup(server.Close)
	f.client = targetshttp.New(server.Client())
	view := &targets.ServiceView{Name: "s", Targets: []*targets.Target{{
		ID: "t", Address: strings.TrimPrefix(server.URL, "http://"), Limit: 100, Stats: &targets.TargetStats{},
	}}}
	f.targets = targets.View{"s": view}
	for _, id := range ids {
		f.add(id)
	}
	f.publishList(ids...)
	return f
}

func (f *fleet) add(id string) {
	state := control.NewState(control.Identity{ID: id, Zone: "z"}, rand.New(rand.NewPCG(1, uint64(id[0]))))
	n := &testNode{fleet: f, id: id, loop: control.NewLoop(state), dead: make(chan struct{}), pools: map[string]*caller.TokenPool{"o": {}}}
	n.pools["o"].Deposit(1e6, caller.NewExpiry(time.Now().Add(time.Hour)))
	n.tier = New(n, n, f.client, caller.QueueLimits{MaxRunning: 16, MaxWaiting: 16, MaxWait: time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	n.kill = sync.OnceFunc(func() { close(n.dead); cancel() })
	go n.loop.Run(ctx, n)
	f.t.Cleanup(n.kill)
	f.nodes[id] = n
	n.loop.Post(control.DocumentRead{Document: testDocument(1, testKey)})
}

// publishList publishes the list of entry instances and waits until each of them has adopted it.
func (f *fleet) publishList(ids ...string) {
	f.list = &document.InstanceList{Revision: f.list.Revision + 1}
	for _, id := range ids {
		f.list.Instances = append(f.list.Instances, document.Instance{
			ID: id, Kind: document.KindEntry, Zone: "z", Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:1", State: document.StateLive,
		})
	}
	for _, id := range ids {
		f.nodes[id].loop.Post(control.InstancesRead{List: f.list})
	}
	for _, id := range ids {
		f.eventually(func() bool {
			s := f.nodes[id].loop.Snapshot()
			return s.Document != nil && len(s.ChangeMembers) == len(ids)
		})
	}
}

func (f *fleet) eventually(done func() bool) {
	f.t.Helper()
	for limit := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			f.t.Fatal("the condition was not met within 10 s")
		}
	}
}

// runCount returns how often the target ran the change with the given idempotency key.
func (f *fleet) runCount(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

// keyFor returns an idempotency key whose home and witness are the given instances.
func (f *fleet) keyFor(home, witness string) string {
	members := f.nodes[home].loop.Snapshot().ChangeMembers
	without := slices.DeleteFunc(slices.Clone(members), func(m sibling.Member) bool { return m.ID == home })
	return firstKey("k", func(key sibling.ChangeKey) bool {
		first, _ := members.HomeOf(key)
		second, _ := without.HomeOf(key)
		return first.ID == home && second.ID == witness
	})
}

func (f *fleet) change(id, key string, timeout time.Duration) (*ChangeResult, *caller.Refusal) {
	return f.nodes[id].tier.Change(context.Background(), Change{
		Service: "s", Key: testKey, IdempotencyKey: key, Text: "text", Deadline: time.Now().Add(timeout),
	})
}

// Snapshot adds tokens and the target to the snapshot of the control loop and marks it as configured, since these tests
// do not cover how the instance obtains them.
func (n *testNode) Snapshot() *control.Snapshot {
	s := *n.loop.Snapshot()
	s.TokenPools, s.Targets, s.Configured = n.pools, n.fleet.targets, true
	return &s
}

func (n *testNode) RequestTokens(string) {}

func (n *testNode) BeginChange(key sibling.ChangeKey, body sibling.BodyDigest) (sibling.BeginResult, error) {
	return n.loop.BeginChange(key, body)
}

func (n *testNode) FinishChange(r sibling.ChangeRecord) ([]sibling.HandOver, error) {
	return n.loop.FinishChange(r)
}

// Execute delivers records of changes to the other instances.
func (n *testNode) Execute(effect control.Effect) {
	h, ok := effect.(control.HandOver)
	if !ok {
		return
	}
	go func() { _, _ = n.HandOver(context.Background(), h.HandOver) }()
}

// HandOver delivers records of changes.
func (n *testNode) HandOver(_ context.Context, h sibling.HandOver) ([]sibling.ChangeRecord, error) {
	records, err := callInstance(n, h.To.ID, "HandOver", func(to *testNode) ([]sibling.ChangeRecord, error) {
		return control.Ask(context.Background(), to.loop, func(reply chan<- []sibling.ChangeRecord) control.Event {
			return control.HandOverReceived{Message: h, Reply: reply}
		})
	})
	if h.Arriving {
		n.loop.Post(control.ArrivalReplyReceived{From: h.To.ID, Records: records})
	}
	return records, err
}

// RunChange forwards a change.
func (n *testNode) RunChange(ctx context.Context, to sibling.Member, r sibling.ChangeRequest) (sibling.ChangeReply, error) {
	return callInstance(n, to.ID, "RunChange", func(to *testNode) (sibling.ChangeReply, error) { return to.tier.RunChange(ctx, r), nil })
}

// RecordChange sends a record to the witness.
func (n *testNode) RecordChange(ctx context.Context, to sibling.Member, home string, r sibling.ChangeRecord) (sibling.WitnessResult, error) {
	return callInstance(n, to.ID, "RecordChange", func(to *testNode) (sibling.WitnessResult, error) {
		return control.Ask(ctx, to.loop, func(reply chan<- sibling.WitnessResult) control.Event {
			return control.WitnessChange{Home: home, Record: r, Reply: reply}
		})
	})
}

// callInstance calls another instance. A call gets no reply if the instance is killed meanwhile.
func callInstance[T any](from *testNode, id, method string, call func(to *testNode) (T, error)) (T, error) {
	var zero T
	to := from.fleet.nodes[id]
	from.fleet.mu.Lock()
	loseCall := from.fleet.loseCall
	from.fleet.mu.Unlock()
	requestLost, replyLost := loseCall(method)
	select {
	case <-to.dead:
		return zero, sibling.ErrNotSent
	default:
	}
	if requestLost {
		return zero, sibling.ErrNotSent
	}
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		v, err := call(to)
		if err == nil {
			from.fleet.mu.Lock()
			from.fleet.delivered[method]++
			from.fleet.mu.Unlock()
		}
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		if replyLost || r.err != nil {
			return zero, sibling.ErrNoReply
		}
		return r.value, nil
	case <-to.dead:
		return zero, sibling.ErrNoReply
	}
}
