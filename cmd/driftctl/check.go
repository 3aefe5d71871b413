package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"dogwooddrift.org/drift/cmd/internal/settings"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/document/documenthttp"
	"dogwooddrift.org/drift/operator"
	"dogwooddrift.org/drift/platform/nodefile"
)

// platformTimeout bounds one read of the platform.
const platformTimeout = 5 * time.Second

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a document or settings before use",
		Commands: []*cli.Command{
			{
				Name:      "document",
				Usage:     "check a document in JSON or YAML and list what it changes",
				ArgsUsage: "FILE",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "in-force", Usage: "path of the document in force to compare with"},
					&cli.StringFlag{Name: "platform", Usage: "base URL of the platform to read the document in force from, instead of --in-force"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					path, err := fileArgument(c)
					if err != nil {
						return err
					}
					inForce, err := loadInForce(ctx, c.String("in-force"), c.String("platform"))
					if err != nil {
						return err
					}
					return checkDocument(c.Root().Writer, path, inForce)
				},
			},
			{
				Name: "settings", Usage: "check the settings of an entry instance", ArgsUsage: "FILE",
				Action: func(_ context.Context, c *cli.Command) error {
					path, err := fileArgument(c)
					if err != nil {
						return err
					}
					if _, err := settings.Load(path); err != nil {
						return err
					}
					_, err = fmt.Fprintln(c.Root().Writer, "settings are valid")
					return err
				},
			},
			{
				Name: "node", Usage: "check a settings file of the users' platform", ArgsUsage: "FILE",
				Action: func(_ context.Context, c *cli.Command) error {
					path, err := fileArgument(c)
					if err != nil {
						return err
					}
					s, err := nodefile.Load(path)
					if err != nil {
						return err
					}
					_, err = fmt.Fprintf(c.Root().Writer, "settings are valid: instance %s in zone %s, %d usable seeds\n", s.Instance, s.Zone, len(s.Seeds))
					return err
				},
			},
		},
	}
}

// fileArgument returns the only argument of a command.
func fileArgument(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", fmt.Errorf("%s takes one file, got %d arguments", c.Name, c.Args().Len())
	}
	return c.Args().First(), nil
}

// checkDocument validates the document at path and prints how it differs from inForce, unless inForce is nil. A revision
// that is not above that of inForce is an error.
func checkDocument(out io.Writer, path string, inForce *document.Document) error {
	doc, err := loadDocument(path)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "document is valid, revision %d\n", doc.Revision); err != nil {
		return err
	}
	if inForce == nil {
		return nil
	}
	changes := operator.Effects(inForce, doc)
	if len(changes) == 0 {
		_, err := fmt.Fprintf(out, "it changes nothing compared with revision %d\n", inForce.Revision)
		return err
	}
	for _, e := range changes {
		if _, err := fmt.Fprintln(out, e); err != nil {
			return err
		}
	}
	if !doc.Revision.Supersedes(inForce.Revision) {
		return fmt.Errorf("%s: revision %d is not above %d, which is in force", path, doc.Revision, inForce.Revision)
	}
	return nil
}

// loadDocument reads a document in JSON or YAML and validates it.
func loadDocument(path string) (*document.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	doc := &document.Document{}
	// JSON is a subset of YAML, so that one decoder reads both and reports the line and column of a fault.
	if err := yaml.UnmarshalWithOptions(text, doc, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%s: %s", path, yaml.FormatError(err, false, true))
	}
	if err := doc.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return doc, nil
}

// readPlatform reads the document from the platform at a base URL.
func readPlatform(ctx context.Context, url string) (*document.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	doc, err := documenthttp.New(url, http.DefaultClient).Document(ctx, 0, 0)
	if err != nil {
		return nil, err
	}
	if doc == nil {
		return nil, errors.New("the platform has no document")
	}
	return doc, nil
}
