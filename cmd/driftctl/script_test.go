package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"driftctl": main})
}

// Runs the scripts in testdata/script, which check the output of operators' commands.
func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
