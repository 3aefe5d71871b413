package deploy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dogwooddrift.org/drift/cmd/internal/standin"
	"dogwooddrift.org/drift/document"
)

// startEchoServer starts a server that sends each line back, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for lines := bufio.NewScanner(c); lines.Scan(); {
					_, _ = c.Write(append(lines.Bytes(), '\n'))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// exchangeLine sends a line and reads a reply, which must arrive within the timeout.
func exchangeLine(c net.Conn, timeout time.Duration) error {
	if _, err := c.Write([]byte("x\n")); err != nil {
		return err
	}
	return read(c, timeout)
}

func read(c net.Conn, timeout time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, err := c.Read(make([]byte, 16))
	return err
}

// Guards against links that pass bytes while frozen, that lose held-back bytes when they open again, or whose state
// does not apply to both open and new connections.
func TestNetworkLinks(t *testing.T) {
	const delay = 10 * time.Millisecond
	n := NewNetwork(func(a, b string) time.Duration { return delay })
	defer n.Close()
	address := startEchoServer(t)
	n.Register(address, "b")
	dial, ctx := n.Dial("a"), context.Background()
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	start := time.Now()
	if err := exchangeLine(c, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 2*delay {
		t.Errorf("round trip took %v, want at least %v", took, 2*delay)
	}
	link := n.Link("b", "a")
	link.SetState(LinkFrozen)
	if err := exchangeLine(c, 100*time.Millisecond); !isTimeout(err) {
		t.Errorf("read over a frozen link: %v, want a timeout", err)
	}
	shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, err := dial(shortCtx, "tcp", address); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("connect over a frozen link: %v, want a timeout", err)
	}
	link.SetState(LinkOpen)
	if err := read(c, 5*time.Second); err != nil {
		t.Errorf("bytes held back by the frozen link are lost: %v", err)
	}
	link.SetState(LinkCut)
	if err := read(c, 5*time.Second); err == nil || isTimeout(err) {
		t.Errorf("read over a cut link: %v, want a reset", err)
	}
	if _, err := dial(ctx, "tcp", address); !errors.Is(err, ErrCut) {
		t.Errorf("connect over a cut link: %v, want ErrCut", err)
	}
	if c, err := n.Dial("b")(ctx, "tcp", address); err != nil {
		t.Errorf("connect inside the zone: %v", err)
	} else {
		_ = c.Close()
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// Guards against an instance list that lacks running instances or contains ended ones, and against entry
// instances that do not end at Close or end with an error.
func TestDeploymentLifecycle(t *testing.T) {
	d, err := Start(Options{
		Zones: []string{"a", "b"}, Instances: 2, Seed: 1, Log: zerolog.Nop(), ZoneDelay: time.Millisecond,
		Services:      []standin.ServiceOptions{{Name: "orders", Replicas: 2, Slots: 2, Connections: 20}},
		Organisations: []Organisation{{Name: "host", Key: "k", IsHost: true, Rate: 10, Burst: 10, Weight: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := d.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	entries := d.Entries()
	if e, err := d.Replace(entries[0].ID); err != nil || e.Zone != entries[0].Zone {
		t.Fatalf("replacement is %+v, %v, want one in the same zone", e, err)
	}
	if err := d.Kill(entries[1].ID); err != nil {
		t.Fatal(err)
	}
	if err := d.Unlist(entries[1].ID); err != nil {
		t.Fatal(err)
	}
	if err := d.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	d.mu.Lock()
	listed := d.instanceList.EntryInstances()
	d.mu.Unlock()
	if len(listed) != 1 || listed[0].ID != d.Entries()[0].ID || listed[0].State != document.StateLive {
		t.Errorf("instance list has entry instances %+v, want only the replacement", listed)
	}
	if err := d.SetZoneOutOfService("b", true); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}
