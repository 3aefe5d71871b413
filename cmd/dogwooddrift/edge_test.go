package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// Guards against a flag of edge that its page does not describe, or describes with another default.
func TestEdgeSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings-edge.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, flag := range edgeCommand().Flags {
		var value any
		switch flag := flag.(type) {
		case *cli.IntFlag:
			value = flag.Value
		case *cli.DurationFlag:
			value = flag.Value
		case *cli.FloatFlag:
			value = flag.Value
		default:
			t.Fatalf("%v is of a type that this test does not know", flag)
		}
		if row := fmt.Sprintf("| `--%s` | `%v` |", flag.Names()[0], value); !strings.Contains(string(page), row) {
			t.Errorf("settings-edge.md lacks %q", row)
		}
	}
}
