package main

import (
	"os"
	"testing"
	"time"

	"dogwooddrift.org/drift/cmd/internal/soak"
)

// soakSeeds are run in each CI: a fixed one, and each that ever failed, with its cause.
var soakSeeds = map[uint64]string{
	1:    "",
	1010: "SIGTERM came while the process started, before it handled signals, and ended it with a signal's status",
}

// Guards the promises against random faults at real processes. `driftctl soak` runs more seeds, for longer.
func TestSoak(t *testing.T) {
	for seed := range soakSeeds {
		findings, err := soak.Run(t.Context(), soak.Options{
			Seed: seed, For: 8 * time.Second, Instances: 3, Command: os.Args[0], Env: []string{mainVariable + "=1"}, Dir: t.TempDir(),
			Report: t.Logf,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range findings {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
}
