// Command driftctl is the operators' command.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:  "driftctl",
		Usage: "operate dogwooddrift: check documents, read dumps, run stand-ins and demonstrations",
		Commands: []*cli.Command{
			checkCommand(),
			dumpCommand(),
			demoCommand(),
			loadCommand(),
			standinCommand(),
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "driftctl:", err)
		os.Exit(1)
	}
}
