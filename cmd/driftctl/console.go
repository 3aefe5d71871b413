package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"dogwooddrift.org/drift/cmd/internal/console"
	"dogwooddrift.org/drift/document"
)

func consoleCommand() *cli.Command {
	return &cli.Command{
		Name:  "console",
		Usage: "serve forms that edit a document; nothing is published, the output is the edited document",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "IP number and port; use loopback, since the console has no authentication", Value: "127.0.0.1:8090"},
			&cli.StringFlag{Name: "document", Usage: "path of the document in force in JSON or YAML; without it, the console starts with a new document"},
			&cli.StringFlag{Name: "platform", Usage: "base URL of the platform to read the document in force from, instead of --document"},
		},
		Action: runConsole,
	}
}

func runConsole(ctx context.Context, c *cli.Command) error {
	inForce, err := loadInForce(ctx, c.String("document"), c.String("platform"))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.Root().Writer, "console at http://%s/\n", listener.Addr()); err != nil {
		return err
	}
	server := &http.Server{Handler: console.New(inForce), ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}

// loadInForce returns the document in force from the file at path or the platform at platformURL, or nil if both are
// empty.
func loadInForce(ctx context.Context, path, platformURL string) (*document.Document, error) {
	switch {
	case path != "" && platformURL != "":
		return nil, fmt.Errorf("the document in force must be read from either a file or the platform, not both")
	case path != "":
		return loadDocument(path)
	case platformURL != "":
		return readPlatform(ctx, platformURL)
	default:
		return nil, nil
	}
}
