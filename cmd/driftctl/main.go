// Command driftctl is the command-line tool for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() { os.Exit(run()) }

func run() int {
	cmd := &cli.Command{
		Name:  "driftctl",
		Usage: "operate dogwooddrift: check documents, print dumps, explain requests, show where requests go, run stand-ins and tests",
		Commands: []*cli.Command{
			checkCommand(),
			consoleCommand(),
			dumpCommand(),
			explainCommand(),
			whereCommand(),
			demoCommand(),
			soakCommand(),
			loadCommand(),
			standinCommand(),
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "driftctl:", err)
		return 1
	}
	return 0
}
