package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"dogwooddrift.org/drift/cmd/internal/soak"
)

// errFindings makes the exit status of a soak with findings differ from that of a clean one.
var errFindings = errors.New("the soak violated a guarantee")

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run instances as processes, inject random faults from outside and check the guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "command", Value: "bin/dogwooddrift", Usage: "path of the program that runs an instance"},
			&cli.Uint64Flag{Name: "seed", Value: uint64(time.Now().UnixNano() % 1e6), Usage: "seed of the first schedule of faults"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds to run, one after the other"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "how long faults are injected with each seed"},
			&cli.IntFlag{Name: "instances", Value: 4, Usage: "number of processes"},
			&cli.BoolFlag{Name: "edge", Usage: "run dogwooddrift edge in front of stand-ins for the users' platform"},
			&cli.BoolFlag{Name: "planned", Usage: "with --edge: only planned stops and starts, and slow or full targets"},
			&cli.StringFlag{Name: "replay", Usage: "judge the history in this file again, without a run"},
			&cli.StringFlag{Name: "dir", Usage: "directory of settings and logs; by default a new temporary directory"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if file := c.String("replay"); file != "" {
				return replay(c, file)
			}
			dir := c.String("dir")
			if dir == "" {
				var err error
				if dir, err = os.MkdirTemp("", "soak"); err != nil {
					return err
				}
			}
			findingCount := 0
			for n := range c.Int("seeds") {
				seed := c.Uint64("seed") + uint64(n)
				findings, err := soakOnce(ctx, c, seed, filepath.Join(dir, strconv.FormatUint(seed, 10)))
				if err != nil {
					return err
				}
				findingCount += len(findings)
			}
			if findingCount > 0 {
				return errFindings
			}
			return ctx.Err()
		},
	}
}

// soakOnce runs a soak with one seed and prints and returns its findings.
func soakOnce(ctx context.Context, c *cli.Command, seed uint64, dir string) ([]string, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	out := c.Root().Writer
	findings, err := soak.Run(ctx, soak.Options{
		Seed: seed, For: c.Duration("for"), Instances: c.Int("instances"), Command: c.String("command"), Dir: dir,
		Edge: c.Bool("edge"), Planned: c.Bool("planned"),
		Report: func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) },
	})
	if err != nil {
		return nil, err
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d findings, logs in %s\n", seed, len(findings), dir)
	printFindings(out, findings)
	return findings, nil
}

func printFindings(out io.Writer, findings []string) {
	for _, f := range findings {
		_, _ = fmt.Fprintln(out, "  ", f)
	}
}

// replay judges a recorded history again.
func replay(c *cli.Command, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	findings, err := soak.Replay(f)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.Root().Writer, "%s: %d findings\n", file, len(findings))
	printFindings(c.Root().Writer, findings)
	if len(findings) > 0 {
		return errFindings
	}
	return nil
}
