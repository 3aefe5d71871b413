package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"driftctl": main})
}

// Runs the scripted scenarios: what operators type and what they must read.
func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
