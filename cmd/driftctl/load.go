package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"runtime/pprof"

	"github.com/urfave/cli/v3"

	"dogwooddrift.org/drift/cmd/internal/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "run an experiment: send requests on a schedule, inject faults, check every answer and report the measurements",
		ArgsUsage: "EXPERIMENT.yaml",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
			&cli.BoolFlag{Name: "compare", Usage: "run again with the baseline policy of the experiment and print the ratios"},
			&cli.StringFlag{Name: "trace", Usage: "write every request of the run to this file, one JSON object per line"},
			&cli.StringFlag{Name: "cpuprofile", Usage: "write a CPU profile of the whole process, including stand-ins, to this file"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed that replaces that of the experiment; 0 keeps it"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fmt.Errorf("load takes one experiment file, got %d arguments", c.Args().Len())
			}
			x, err := load.Load(c.Args().First())
			if err != nil {
				return err
			}
			if seed := c.Uint64("seed"); seed != 0 {
				x.Seed = seed
			}
			if path := c.String("cpuprofile"); path != "" {
				file, err := os.Create(path)
				if err != nil {
					return err
				}
				defer func() { _ = file.Close() }()
				if err := pprof.StartCPUProfile(file); err != nil {
					return err
				}
				defer pprof.StopCPUProfile()
			}
			return runExperiment(ctx, c.Root().Writer, x, outputOptions{json: c.Bool("json"), compare: c.Bool("compare"), trace: c.String("trace")})
		},
	}
}

// outputOptions selects the output of a run.
type outputOptions struct {
	json, compare bool
	trace         string // path of the trace file; empty for none
}

// runExperiment runs an experiment and prints the report, also if a check failed. Failed checks of the baseline are not
// errors: the baseline is expected to be worse.
func runExperiment(ctx context.Context, out io.Writer, x load.Experiment, o outputOptions) error {
	// net/http logs each duplicate reply of a target to the standard logger, and the stand-ins send duplicates on purpose.
	log.SetOutput(io.Discard)
	report, err := load.Run(ctx, x, x.Policy)
	if report == nil {
		return err
	}
	write := func(r *load.Report) error {
		if o.json {
			return r.WriteJSON(out)
		}
		r.WriteTable(out)
		return nil
	}
	err = errors.Join(err, write(report), writeTrace(report, o.trace))
	if o.compare {
		baseline, baselineErr := load.Run(ctx, x, x.Baseline)
		if baselineErr != nil {
			return errors.Join(err, baselineErr)
		}
		err = errors.Join(err, write(baseline))
		if !o.json {
			load.WriteComparison(out, report, baseline)
		}
	}
	return errors.Join(err, report.Err())
}

func writeTrace(r *load.Report, path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(r.WriteTrace(file), file.Close())
}
