package edge

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"dogwooddrift.org/drift/cmd/internal/linelog"
	"dogwooddrift.org/drift/cmd/internal/soak"
	"dogwooddrift.org/drift/platform/platformtest"
)

// startInstance runs an instance in this process until the end of the test. It returns the addresses for callers and for operators.
func startInstance(t *testing.T, storeAddress string) (callers, operators string) {
	t.Helper()
	addresses, err := soak.FreeAddresses(4)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "boot.toml")
	text := platformtest.NodeFile(platformtest.Node{
		Name: "edge-1", Zone: "z", CallersAddress: addresses[0], ReadinessAddress: addresses[1], SiblingsAddress: addresses[2],
		StoreAddress: storeAddress, Seeds: []string{addresses[2]},
	})
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c := DefaultConfig()
	c.MetricsPort, c.Notice = int(netip.MustParseAddrPort(addresses[3]).Port()), 0
	out := linelog.New(&bytes.Buffer{})
	t.Cleanup(func() { out.Close(nil) })
	n, err := New(path, c, out)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, nil) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("the instance ended with %v", err)
		}
	})
	return addresses[0], addresses[3]
}
