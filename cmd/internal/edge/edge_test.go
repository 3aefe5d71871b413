package edge

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dogwooddrift.org/drift/cmd/internal/linelog"
	"dogwooddrift.org/drift/cmd/internal/soak"
	"dogwooddrift.org/drift/platform/platformtest"
)

// Guards against listeners that stay open when one of the addresses cannot be used: the next start in the same process, or
// a caller that connects meanwhile, would find them.
func TestFailedStartClosesItsListeners(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	addresses, err := soak.FreeAddresses(2)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "boot.toml")
	text := platformtest.NodeFile(platformtest.Node{
		Name: "edge-1", Zone: "z", CallersAddress: addresses[0], ReadinessAddress: addresses[1], SiblingsAddress: taken.Addr().String(),
		StoreAddress: "127.0.0.1:1",
	})
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c := DefaultConfig()
	c.MetricsPort = 0
	out := linelog.New(&bytes.Buffer{})
	defer out.Close(nil)
	if _, err := New(path, c, out); !errors.Is(err, ErrListen) {
		t.Fatalf("error %v, want %v", err, ErrListen)
	}
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("%s is still in use: %v", address, err)
			continue
		}
		_ = l.Close()
	}
}

// Guards against a start that fails by a panic, or without naming the settings, when the metrics have the address of another
// listener.
func TestMetricsNeedAnAddressOfTheirOwn(t *testing.T) {
	addresses, err := soak.FreeAddresses(3)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "boot.toml")
	text := platformtest.NodeFile(platformtest.Node{
		Name: "edge-1", Zone: "z", CallersAddress: addresses[0], ReadinessAddress: addresses[1], SiblingsAddress: addresses[2], StoreAddress: "127.0.0.1:1",
	})
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c := DefaultConfig()
	c.MetricsPort = int(netip.MustParseAddrPort(addresses[1]).Port())
	out := linelog.New(&bytes.Buffer{})
	defer out.Close(nil)
	_, err = New(path, c, out)
	if !errors.Is(err, ErrListen) || !strings.Contains(err.Error(), "readiness") || !strings.Contains(err.Error(), "metrics") {
		t.Errorf("error %v, want %v with the names of both listeners", err, ErrListen)
	}
}
