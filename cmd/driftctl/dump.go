package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/urfave/cli/v3"
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("instance at %s returned status %s", address, resp.Status)
	}
	var state any
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return fmt.Errorf("decode dump of %s: %w", address, err)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(state)
}
