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
	"dogwooddrift.org/drift/platform"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "emulate the systems around the tier",
		Commands: []*cli.Command{
			{
				Name:  "targets",
				Usage: "serve emulated targets on loopback and print them as JSON, one instance a line",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "service", Usage: "name of the service", Required: true},
					&cli.IntFlag{Name: "shards", Usage: "number of shards, 0 for an unsharded service"},
					&cli.IntFlag{Name: "replicas", Usage: "targets of each shard", Value: 2},
					&cli.IntFlag{Name: "slots", Usage: "requests that a target runs at a time", Value: 2},
					&cli.DurationFlag{Name: "service-time", Usage: "time that one request takes", Value: 2 * time.Millisecond},
					&cli.StringSliceFlag{Name: "zone", Usage: "availability zone; may be repeated", Value: []string{"a"}},
				},
				Action: serveTargets,
			},
			{
				Name:  "platform",
				Usage: "serve a document and an instance list from files",
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
		Connections: 25, ServiceTime: c.Duration("service-time"),
	}}, c.StringSlice("zone"))
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
	<-ctx.Done()
	return nil
}

func servePlatform(ctx context.Context, c *cli.Command) error {
	p := standin.NewPlatform()
	var doc platform.Document
	if err := readJSON(c.String("document"), &doc); err != nil {
		return err
	}
	var list platform.InstanceList
	if err := readJSON(c.String("instances"), &list); err != nil {
		return err
	}
	if err := p.PublishDocument(&doc); err != nil {
		return err
	}
	if err := p.PublishInstances(&list); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
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
