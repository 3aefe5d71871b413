package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"dogwooddrift.org/drift/cmd/internal/settings"
	"dogwooddrift.org/drift/platform"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a document or settings before use",
		Commands: []*cli.Command{
			{
				Name: "document", Usage: "check a document in JSON or YAML", ArgsUsage: "FILE",
				Action: func(_ context.Context, c *cli.Command) error {
					return checkDocument(c.Root().Writer, c.Args().First())
				},
			},
			{
				Name: "settings", Usage: "check the settings of an entry instance", ArgsUsage: "FILE",
				Action: func(_ context.Context, c *cli.Command) error {
					if _, err := settings.Load(c.Args().First()); err != nil {
						return err
					}
					_, err := fmt.Fprintln(c.Root().Writer, "settings are valid")
					return err
				},
			},
		},
	}
}

func checkDocument(out io.Writer, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var doc platform.Document
	// JSON is a subset of YAML.
	if err := yaml.UnmarshalWithOptions(text, &doc, yaml.Strict()); err != nil {
		return fmt.Errorf("%s: %s", path, yaml.FormatError(err, false, true))
	}
	if err := doc.Validate(); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	_, err = fmt.Fprintf(out, "document is valid, revision %d\n", doc.Revision)
	return err
}
