package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"dogwooddrift.org/drift/cmd/internal/settings"
	"dogwooddrift.org/drift/cmd/internal/standin"
	"dogwooddrift.org/drift/document"
)

// countingListener counts the payload bytes of the connections that it accepts, without TCP and IP headers.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkWrongfulRefusals offers 90% of an organisation's rate to one of 8 nodes, which communicate over gRPC on
// loopback, with the static division of the rate and with rate shares. Run it with -benchtime 1x.
func BenchmarkWrongfulRefusals(b *testing.B) {
	for _, static := range []bool{true, false} {
		b.Run(fmt.Sprintf("static=%v", static), func(b *testing.B) {
			for range b.N {
				measureRefusals(b, static)
			}
		})
	}
}

// measureRefusals reports the percentage of wrongful refusals and the bytes between nodes.
func measureRefusals(b *testing.B, static bool) {
	const rate, seconds = 1000.0, 10
	policy := "transfer"
	if static {
		policy = "static"
	}
	zones := []string{"a", "b", "c"}
	p := standin.NewPlatform()
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	doc := &document.Document{
		Revision:      1,
		Organisations: []document.Organisation{{Name: "host", IsHost: true, Rate: rate, Burst: rate, Weight: 1}},
		Isolation:     document.Isolation{KeyedLimit: 60}, ChangeWindow: 60,
	}
	for _, z := range zones {
		doc.Zones = append(doc.Zones, document.Zone{Name: z, RateFraction: 1.0 / 3})
	}
	if err := p.PublishDocument(doc); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	var group errgroup.Group
	var nodes []*Node
	var bytes atomic.Int64
	list := &document.InstanceList{Revision: 1}
	for i := range 8 {
		s := settings.Default()
		s.ID, s.Zone, s.Platform, s.Policy.Rates = fmt.Sprintf("n-%d", i), zones[i%3], "http://"+listener.Addr().String(), policy
		s.Listen = settings.Listen{Callers: "127.0.0.1:0", Siblings: "127.0.0.1:0", Operators: "127.0.0.1:0"}
		s.Drain.Notice = 0
		n, err := New(s, zerolog.Nop())
		if err != nil {
			b.Fatal(err)
		}
		n.siblingsListener = countingListener{n.siblingsListener, &bytes}
		nodes = append(nodes, n)
		list.Instances = append(list.Instances, n.Instance())
		group.Go(func() error { return n.Run(ctx, context.Background()) })
	}
	if err := p.PublishInstances(list); err != nil {
		b.Fatal(err)
	}
	for _, n := range nodes {
		for deadline := time.Now().Add(20 * time.Second); !n.tier.Ready(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				b.Fatalf("node %s did not become ready", n.settings.ID)
			}
		}
	}
	idleBytes := bytes.Load()
	time.Sleep(2 * time.Second)
	idleBytes = bytes.Load() - idleBytes

	pool := nodes[0].loop.Snapshot().TokenPools["host"]
	start := time.Now()
	dueAt, offered, refused := start, 0, 0
	var bytesAfterWarmup int64
	for time.Since(start) < seconds*time.Second {
		dueAt = dueAt.Add(time.Duration(rand.ExpFloat64() / (0.9 * rate) * float64(time.Second)))
		time.Sleep(time.Until(dueAt))
		ok := pool.Take(time.Now)
		if time.Since(start) < 2*time.Second {
			bytesAfterWarmup = bytes.Load()
			continue
		}
		offered++
		if !ok {
			refused++
		}
	}
	b.ReportMetric(100*float64(refused)/float64(offered), "%refused")
	b.ReportMetric(float64(offered)/(seconds-2), "offered/s")
	b.ReportMetric(float64(idleBytes)/2/8, "idle-B/s/node")
	b.ReportMetric(float64(bytes.Load()-bytesAfterWarmup)/(seconds-2)/8, "B/s/node")
	cancel()
	if err := group.Wait(); err != nil {
		b.Error(err)
	}
}
