package siblinggrpc

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/document/documentjson"
	"dogwooddrift.org/drift/sibling"
)

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type noEffects struct{}

func (noEffects) Execute(control.Effect) {}

// peer is a control loop with its gRPC server.
type peer struct {
	loop     *control.Loop
	receiver *Receiver
	member   sibling.Member
}

func startPeer(t testing.TB, id string) *peer {
	p := &peer{loop: control.NewLoop(control.NewState(control.Identity{ID: id, Zone: "a"}, rand.New(rand.NewPCG(1, 1))))}
	p.receiver = NewReceiver(p.loop)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.member = sibling.Member{ID: id, Zone: "a", PeerAddress: listener.Addr().String()}
	server := grpc.NewServer()
	Register(server, p.loop, p.receiver)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(listener) }()
	done := make(chan struct{})
	go func() { defer close(done); p.loop.Run(ctx, noEffects{}) }()
	t.Cleanup(func() { server.Stop(); cancel(); <-done })
	return p
}

func bigDocument(t testing.TB, revision document.Revision, keys int) (*document.Document, document.Content) {
	d := &document.Document{
		Revision:      revision,
		Organisations: []document.Organisation{{Name: "host", IsHost: true, Rate: 10, Burst: 10, Weight: 1}},
		Zones:         []document.Zone{{Name: "a", RateFraction: 1}},
		Isolation:     document.Isolation{KeyedLimit: 60},
		ChangeWindow:  60,
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for i := range keys {
		d.Organisations[0].Keys = append(d.Organisations[0].Keys, document.Key{
			ID: fmt.Sprintf("key-%d", i), SHA256: fmt.Sprintf("%016x%016x%016x%016x", rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64()),
		})
	}
	d.Organisations[0].Rate = float64(revision)
	content, err := documentjson.Encode(revision, d)
	if err != nil {
		t.Fatal(err)
	}
	return d, content
}

func (p *peer) adopt(t testing.TB, d *document.Document, source control.Source) {
	p.loop.Post(control.DocumentRead{Document: d, Source: source})
	p.await(t, d.Revision)
}

// await waits until the control goroutine has published the revision.
func (p *peer) await(t testing.TB, revision document.Revision) {
	for limit := time.Now().Add(5 * time.Second); p.loop.Snapshot().DocumentHistory.Revision != revision; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("revision in force is %d after 5 s, want %d", p.loop.Snapshot().DocumentHistory.Revision, revision)
		}
	}
}

// Guards against an announced difference that is not put into force, and against a mismatched one that is.
func TestAnnouncedDifference(t *testing.T) {
	p := startPeer(t, "p")
	client := NewClient()
	defer client.Close()
	first, firstContent := bigDocument(t, 1, 100)
	p.adopt(t, first, control.Source{Content: firstContent})
	_, next := bigDocument(t, 2, 100)
	d, err := document.Diff(firstContent, next)
	if err != nil {
		t.Fatal(err)
	}
	bad := d
	bad.Checksum++
	if err := p.receiver.Receive("x", sibling.Document, []document.Difference{bad}); !errors.Is(err, document.ErrMismatch) {
		t.Fatalf("difference with a wrong checksum: error %v, want ErrMismatch", err)
	}
	announce := sibling.Announce{To: p.member, Value: sibling.Document, Revision: 2, Difference: &d}
	if err := client.Announce(t.Context(), "x", announce); err != nil {
		t.Fatal(err)
	}
	p.await(t, 2)
}

// Guards against an out-of-date instance that cannot fetch the document in force from a sibling, and against history
// that is lost when several differences arrive at once.
func TestFetch(t *testing.T) {
	p, q := startPeer(t, "p"), startPeer(t, "q")
	client := NewClient()
	defer client.Close()
	var previous document.Content
	for r := document.Revision(1); r <= 5; r++ {
		d, content := bigDocument(t, r, 100)
		source := control.Source{Content: content}
		if r > 1 {
			diff, err := document.Diff(previous, content)
			if err != nil {
				t.Fatal(err)
			}
			source.Differences = []document.Difference{diff}
		}
		p.adopt(t, d, source)
		if r == 2 {
			q.adopt(t, d, control.Source{Content: content})
		}
		previous = content
	}
	for _, c := range []struct {
		after document.Revision
		want  int
	}{{0, 1}, {1, 4}, {4, 1}, {5, 0}} {
		got, err := client.Fetch(t.Context(), sibling.Fetch{From: p.member, Value: sibling.Document, After: c.after})
		if err != nil || len(got) != c.want {
			t.Errorf("after %d: %d differences and error %v, want %d", c.after, len(got), err, c.want)
		}
	}
	got, err := client.Fetch(t.Context(), sibling.Fetch{From: p.member, Value: sibling.Document, After: 2})
	if err != nil {
		t.Fatal(err)
	}
	if err := q.receiver.Receive("p", sibling.Document, got); err != nil {
		t.Fatal(err)
	}
	q.await(t, 5)
	other := startPeer(t, "other")
	d, content := bigDocument(t, 2, 90) // other content of revision 2
	other.adopt(t, d, control.Source{Content: content})
	if err := other.receiver.Fetch(t.Context(), client, sibling.Fetch{From: p.member, Value: sibling.Document, After: 2}); err != nil {
		t.Errorf("fetch by an instance with other content of the same revision: %v", err)
	}
	other.await(t, 5)
	if n := len(q.loop.Snapshot().DocumentHistory.Differences); n != 3 {
		t.Errorf("history after a fetch of 3 differences has %d entries", n)
	}
}

// Guards against an established connection that stops delivering and is used forever while new ones work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	p := startPeer(t, "p")
	var silent atomic.Bool
	var dials atomic.Int64
	client := NewClient(grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return silencedConn{Conn: conn, silent: &silent, first: dials.Add(1) == 1}, err
	}))
	defer client.Close()
	exchange := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := client.Exchange(ctx, p.member, sibling.Heartbeat{ID: "x"})
		return err
	}
	if err := exchange(); err != nil {
		t.Fatal(err)
	}
	silent.Store(true)
	if err := exchange(); !errors.Is(err, sibling.ErrNoReply) {
		t.Fatalf("exchange over a silent connection: error %v, want ErrNoReply", err)
	}
	if err := exchange(); err != nil {
		t.Fatalf("exchange after the silent one: %v", err)
	}
}

// silencedConn discards writes once silent is set, if it is the first connection.
type silencedConn struct {
	net.Conn
	silent *atomic.Bool
	first  bool
}

func (c silencedConn) Write(b []byte) (int, error) {
	if c.first && c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// BenchmarkWire measures bytes on the wire in both directions together, without TCP and IP headers.
func BenchmarkWire(b *testing.B) {
	p := startPeer(b, "p")
	var bytes atomic.Int64
	client := NewClient(grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countedConn{Conn: conn, bytes: &bytes}, err
	}))
	defer client.Close()
	doc, content := bigDocument(b, 1, 10000)
	_, next := bigDocument(b, 2, 10000)
	d, err := document.Diff(content, next)
	if err != nil {
		b.Fatal(err)
	}
	p.adopt(b, doc, control.Source{Content: content})
	h := sibling.Heartbeat{ID: "roskilde-01", Zone: "roskilde", DocumentRevision: 100000, ListRevision: 100000, DirectAge: 250e6, ZoneAge: 250e6, OutsideAge: 250e6}
	run := func(name string, f func() error) {
		b.Run(name, func(b *testing.B) {
			if err := f(); err != nil { // the first call also opens the connection
				b.Fatal(err)
			}
			bytes.Store(0)
			n := 0
			for b.Loop() {
				if err := f(); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64(bytes.Load())/float64(n), "B/call")
		})
	}
	run("connect and exchange", func() error {
		fresh := NewClient(client.options[1:]...)
		defer fresh.Close()
		_, err := fresh.Exchange(b.Context(), p.member, h)
		return err
	})
	run("exchange", func() error { _, err := client.Exchange(b.Context(), p.member, h); return err })
	run("fetch whole", func() error {
		_, err := client.Fetch(b.Context(), sibling.Fetch{From: p.member, Value: sibling.Document})
		return err
	})
	run("announce", func() error {
		return client.Announce(b.Context(), "roskilde-01", sibling.Announce{To: p.member, Value: sibling.Document, Revision: 2, Difference: &d})
	})
}

// BenchmarkReceive measures the processor time of one change that an instance receives from a sibling: apply the
// difference, decode, validate and index.
func BenchmarkReceive(b *testing.B) {
	for _, keys := range []int{100, 1000, 10000} {
		old, content := bigDocument(b, 1, keys)
		_, next := bigDocument(b, 2, keys)
		d, err := document.Diff(content, next)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("%dB", len(content.Bytes)), func(b *testing.B) {
			b.ReportAllocs()
			var stepped time.Duration
			changes := 0
			for b.Loop() {
				b.StopTimer()
				state := control.NewState(control.Identity{ID: "i", Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
				state.Step(control.DocumentRead{Document: old, Source: control.Source{Content: content}}, time.Unix(1, 0))
				held := state.Snapshot().DocumentHistory
				b.StartTimer()
				got, err := held.ApplyAll([]document.Difference{d})
				if err != nil {
					b.Fatal(err)
				}
				event, err := decodeEvent(sibling.Document, got, control.Source{Content: got, Differences: []document.Difference{d}})
				if err != nil {
					b.Fatal(err)
				}
				start := time.Now()
				state.Step(event, time.Unix(2, 0))
				stepped += time.Since(start)
				changes++
			}
			b.ReportMetric(float64(len(d.Patch)), "patch-bytes")
			b.ReportMetric(float64(stepped.Nanoseconds())/float64(changes), "control-ns/op")
		})
	}
}
