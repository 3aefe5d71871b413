package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"dogwooddrift.org/drift/cmd/internal/standin"
	"dogwooddrift.org/drift/document"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "emulate the systems around the query tier",
		Commands: []*cli.Command{
			{
				Name:  "targets",
				Usage: "serve emulated targets on loopback and print them as JSON, one instance per line",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "service", Usage: "name of the service", Required: true},
					&cli.IntFlag{Name: "shards", Usage: "number of shards, 0 for an unsharded service"},
					&cli.IntFlag{Name: "replicas", Usage: "number of targets of each shard", Value: 2},
					&cli.IntFlag{Name: "slots", Usage: "maximum concurrent requests of a target", Value: 2},
					&cli.DurationFlag{Name: "service-time", Usage: "time that a target takes for a request", Value: 2 * time.Millisecond},
					&cli.IntFlag{Name: "connections", Usage: "maximum connections of a target", Value: 25},
					&cli.StringSliceFlag{Name: "zone", Usage: "availability zone; may be repeated", Value: []string{"a"}},
					&cli.StringFlag{Name: "faults", Usage: "IP number and port for PUT /fault, PUT /snapshot, GET /counters and GET /instances; disabled if empty"},
					&cli.Uint64Flag{Name: "seed", Usage: "seed of the random choices of faults", Value: 1},
				},
				Action: serveTargets,
			},
			{
				Name:  "platform",
				Usage: "serve a document and an instance list from files; PUT to their URL paths publishes newer ones, PUT /fault sets faults",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Usage: "IP number and port", Value: "127.0.0.1:7000"},
					&cli.StringFlag{Name: "document", Usage: "path of the document as JSON", Required: true},
					&cli.StringFlag{Name: "instances", Usage: "path of the instance list as JSON", Required: true},
				},
				Action: servePlatform,
			},
		},
	}
}

func serveTargets(ctx context.Context, c *cli.Command) error {
	fleet, err := standin.NewFleet([]standin.ServiceOptions{{
		Name: c.String("service"), Shards: c.Int("shards"), Replicas: c.Int("replicas"), Slots: c.Int("slots"),
		Connections: c.Int("connections"), ServiceTime: c.Duration("service-time"),
	}}, c.StringSlice("zone"), standin.WithSeed(c.Uint64("seed")))
	if err != nil {
		return err
	}
	defer fleet.Close()
	encoder := json.NewEncoder(c.Root().Writer)
	for _, in := range fleet.Instances {
		if err := encoder.Encode(in); err != nil {
			return err
		}
	}
	if address := c.String("faults"); address != "" {
		return serveUntil(ctx, address, fleet.FaultHandler())
	}
	<-ctx.Done()
	return nil
}

// serveUntil serves on the address until ctx ends.
func serveUntil(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}

func servePlatform(ctx context.Context, c *cli.Command) error {
	p := standin.NewPlatform()
	var doc document.Document
	if err := readJSON(c.String("document"), &doc); err != nil {
		return err
	}
	var list document.InstanceList
	if err := readJSON(c.String("instances"), &list); err != nil {
		return err
	}
	if err := p.PublishDocument(&doc); err != nil {
		return err
	}
	if err := p.PublishInstances(&list); err != nil {
		return err
	}
	return serveUntil(ctx, c.String("listen"), p)
}

func readJSON(path string, value any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, value); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
