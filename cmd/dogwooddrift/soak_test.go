package main

import (
	"os"
	"testing"
	"time"

	"dogwooddrift.org/drift/cmd/internal/soak"
)

// soakRun is a soak that runs in CI.
type soakRun struct {
	seed uint64
	edge bool
}

// soakRuns maps runs to the faults that they found: a fixed run of each kind of instance, and each run that has failed.
var soakRuns = map[soakRun]string{
	{1, false}:    "",
	{1, true}:     "requests were abandoned before anything was sent, so that the recovery of unresponsive targets was never detected",
	{1010, false}: "SIGTERM arrived during startup, before the process handled signals, and ended it with a signal's exit status",
}

// Guards the system's guarantees under random faults with real processes. `driftctl soak` runs more seeds for longer.
func TestSoak(t *testing.T) {
	for run := range soakRuns {
		findings, err := soak.Run(t.Context(), soak.Options{
			Seed: run.seed, For: 8 * time.Second, Instances: 3, Edge: run.edge, Command: os.Args[0], Env: []string{mainVariable + "=1"},
			Dir: t.TempDir(), Report: t.Logf,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range findings {
			t.Errorf("%+v: %s", run, f)
		}
	}
}
