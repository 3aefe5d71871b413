package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"dogwooddrift.org/drift/cmd/internal/edge"
	"dogwooddrift.org/drift/cmd/internal/linelog"
	"dogwooddrift.org/drift/cmd/internal/requestlog"
	"dogwooddrift.org/drift/platform/nodefile"
)

func edgeCommand() *cli.Command {
	c := edge.DefaultConfig()
	return &cli.Command{
		Name:  "edge",
		Usage: "run an instance on the users' platform; the environment variable " + nodefile.PathVariable + " holds the path of its settings file",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "metrics-port", Value: c.MetricsPort, Usage: "port of /metrics and /dump on the machine's address; 0 disables both"},
			&cli.DurationFlag{Name: "answer-margin", Value: c.AnswerMargin, Usage: "how long before a route's objective a gathered answer with sufficient coverage arrives at the caller"},
			&cli.DurationFlag{Name: "reply-margin", Value: c.ReplyMargin, Usage: "how long before the deadline the final answer arrives at the caller"},
			&cli.DurationFlag{Name: "notice", Value: c.Notice, Usage: "how long the instance keeps serving after SIGTERM"},
			&cli.IntFlag{Name: "max-reply-bytes", Value: c.MaxReplyBytes, Usage: "largest accepted body of a target's reply, in bytes"},
			&cli.IntFlag{Name: "reply-memory", Usage: "megabytes that the replies of targets may take at the same time; 0: a quarter of the machine's memory limit"},
			&cli.IntFlag{Name: "body-memory", Usage: "megabytes that the bodies of callers' requests may take at the same time; 0: an eighth of the machine's memory limit"},
			&cli.IntFlag{Name: "target-body-memory", Value: c.TargetBodyMemoryMB, Usage: "megabytes of request bodies that all instances together may have in flight to one target; 0: no limit"},
			&cli.IntFlag{Name: "head-memory", Usage: "megabytes that the heads of requests may take while they are read, and as much again while they run; 0: a sixteenth of the machine's memory limit"},
			&cli.IntFlag{Name: "max-connections", Usage: "open connections of callers; 0: derived from the machine's limits on memory and open files"},
			&cli.FloatFlag{Name: "log-failures", Value: c.LogLimits.FailuresPerSecond, Usage: "maximum failed or partial requests that are logged each second"},
			&cli.FloatFlag{Name: "log-successes", Value: c.LogLimits.SuccessesPerSecond, Usage: "maximum other requests that are logged each second"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			c.MetricsPort, c.Notice = cmd.Int("metrics-port"), cmd.Duration("notice")
			c.AnswerMargin, c.ReplyMargin = cmd.Duration("answer-margin"), cmd.Duration("reply-margin")
			c.LogLimits = requestlog.Limits{FailuresPerSecond: cmd.Float("log-failures"), SuccessesPerSecond: cmd.Float("log-successes")}
			c.MaxReplyBytes, c.ReplyMemoryMB, c.BodyMemoryMB = cmd.Int("max-reply-bytes"), cmd.Int("reply-memory"), cmd.Int("body-memory")
			if c.MaxReplyBytes <= 0 || c.ReplyMemoryMB < 0 || c.BodyMemoryMB < 0 {
				return errors.New("max-reply-bytes must be positive, reply-memory and body-memory must not be negative")
			}
			if c.TargetBodyMemoryMB = cmd.Int("target-body-memory"); c.TargetBodyMemoryMB < 0 || c.TargetBodyMemoryMB > edge.MaxTargetBodyMemoryMB {
				return fmt.Errorf("target-body-memory must be from 0 to %d", edge.MaxTargetBodyMemoryMB)
			}
			c.HeadMemoryMB, c.MaxConnections = cmd.Int("head-memory"), cmd.Int("max-connections")
			if err := c.CheckConnectionLimits(); err != nil {
				return err
			}
			return runEdge(c)
		},
	}
}

func runEdge(c edge.Config) error {
	// Signals are handled before anything else is set up, for the same reason as in run.
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := os.Getenv(nodefile.PathVariable)
	if path == "" {
		return errors.New(nodefile.PathVariable + " is not set")
	}
	out := linelog.New(os.Stdout)
	defer flushLog(out)
	n, err := edge.New(path, c, out)
	if err != nil {
		return err
	}
	return n.Run(stop, reload)
}
