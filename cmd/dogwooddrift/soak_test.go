package main

import (
	"os"
	"testing"
	"time"

	"dogwooddrift.org/drift/cmd/internal/soak"
)

// soakRun is a run of the soak in each CI.
type soakRun struct {
	seed uint64
	edge bool
}

// soakRuns holds a fixed run of each system, and each that ever failed, with its cause.
var soakRuns = map[soakRun]string{
	{1, false}:    "",
	{1, true}:     "requests were given up before anything was sent, so that silent targets that were back were never noticed",
	{1010, false}: "SIGTERM came while the process started, before it handled signals, and ended it with a signal's status",
}

// Guards the promises against random faults at real processes. `driftctl soak` runs more seeds, for longer.
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
