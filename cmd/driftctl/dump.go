package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"dogwooddrift.org/drift/httpreply"
)

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name:      "dump",
		Usage:     "print the state of an entry instance as JSON",
		ArgsUsage: "ADDRESS (of the operators' interface of the instance)",
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fmt.Errorf("dump takes one address, got %d arguments", c.Args().Len())
			}
			return dump(ctx, c.Root().Writer, c.Args().First())
		},
	}
}

// dump prints the dump of the instance with the given operators' address as indented JSON.
func dump(ctx context.Context, out io.Writer, address string) error {
	var state any
	if err := askInstance(ctx, address, "/dump", &state); err != nil {
		return err
	}
	return printJSON(out, state)
}

// instanceClient asks the operators' interfaces of instances.
var instanceClient = httpreply.Client(http.DefaultClient)

// askInstance decodes the JSON reply of an instance, whose operators' address is given, to a GET of a path with its query.
func askInstance(ctx context.Context, address, path string, reply any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := instanceClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		// The text only explains the status, so an error of reading it adds nothing.
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return fmt.Errorf("instance at %s returned status %s: %s", address, resp.Status, strings.TrimSpace(string(text)))
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read reply of %s: %w", address, err)
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return fmt.Errorf("decode reply of %s: %w", address, err)
	}
	return nil
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
