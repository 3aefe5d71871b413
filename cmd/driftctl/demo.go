package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"dogwooddrift.org/drift/cmd/internal/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run three availability zones with stand-ins and entry instances in this process, and send requests",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "how long to send requests", Value: 3 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the requests and of the stand-ins", Value: 1},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return demo.Run(ctx, c.Root().Writer, c.Duration("duration"), c.Uint64("seed"))
		},
	}
}
