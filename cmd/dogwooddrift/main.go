// Command dogwooddrift is an entry instance of the query tier.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"dogwooddrift.org/drift/cmd/internal/linelog"
	"dogwooddrift.org/drift/cmd/internal/node"
	"dogwooddrift.org/drift/cmd/internal/settings"
)

// errAborted makes the exit status of an aborted shutdown differ from that of a graceful one.
var errAborted = errors.New("shutdown was cut short by a second signal")

// logFlushTimeout is how long the process waits before it exits for queued log lines to be written.
const logFlushTimeout = 200 * time.Millisecond

// flushLog writes the queued log lines, for at most logFlushTimeout.
func flushLog(out *linelog.Writer) {
	limit, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
	defer cancel()
	out.Close(limit.Done())
}

func main() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	cmd := &cli.Command{
		Name:  "dogwooddrift",
		Usage: "run an entry instance that serves callers' queries and changes from the targets of this deployment",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the YAML settings file"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.String("settings") == "" {
				return errors.New("the flag --settings is required")
			}
			return run(c.String("settings"))
		},
		Commands: []*cli.Command{edgeCommand()},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "dogwooddrift:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	// Signals are handled before anything else is set up: a SIGTERM during the setup must not end the process with a
	// signal's exit status.
	stop, abort := shutdownContexts()
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return err
	}
	out := linelog.New(os.Stdout)
	defer flushLog(out)
	log := zerolog.New(out).Level(level).With().Timestamp().Logger()
	n, err := node.New(s, log, node.WithRequestLog(out))
	if err != nil {
		return err
	}
	if err := n.Run(stop, abort); err != nil {
		return err
	}
	if abort.Err() != nil {
		return errAborted
	}
	return nil
}

// shutdownContexts returns a context that ends at the first SIGTERM or SIGINT and one that ends at the second.
func shutdownContexts() (stop, abort context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-received
		cancelStop()
		<-received
		cancelAbort()
	}()
	return stop, abort
}
