package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// beliefSpan is how long before and after a request changed beliefs are shown beside it.
const beliefSpan = 2 * time.Second

// maxLine bounds a log line.
const maxLine = 1 << 20

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "join the log lines of several instances for one request into a timeline",
		ArgsUsage: "REQUEST-ID FILE... (- for standard input)",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "beliefs", Usage: "show what the instances came to believe around the request too"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return errors.New("explain takes the ID of a request and at least one log file")
			}
			var lines []logLine
			for _, path := range c.Args().Slice()[1:] {
				more, err := readLog(path)
				if err != nil {
					return err
				}
				lines = append(lines, more...)
			}
			return explain(c.Root().Writer, c.Args().First(), lines, c.Bool("beliefs"))
		},
	}
}

// logLine is a line of an instance's log.
type logLine struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	Request  string    `json:"request"`
	fields   map[string]any
}

func readLog(path string) ([]logLine, error) {
	in := io.Reader(os.Stdin)
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	var out []logLine
	for scanner.Scan() {
		// A collector may have put something before the line.
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[start:]), &l) != nil || json.Unmarshal([]byte(text[start:]), &l.fields) != nil || l.Message == "" {
			continue // not a line of an instance
		}
		out = append(out, l)
	}
	return out, scanner.Err()
}

// explain prints the lines of a request in order of time, with times relative to its first line.
func explain(out io.Writer, id string, lines []logLine, beliefs bool) error {
	var own []logLine
	for _, l := range lines {
		if l.Request == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return fmt.Errorf("no line names request %s: it was left out (see the metric log_requests_left_out) or never arrived", id)
	}
	first, last := own[0].Time, own[0].Time
	for _, l := range own {
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	if beliefs {
		for _, l := range lines {
			if l.Request == "" && l.Time.After(first.Add(-beliefSpan)) && l.Time.Before(last.Add(beliefSpan)) {
				own = append(own, l)
			}
		}
	}
	slices.SortStableFunc(own, func(a, b logLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	for _, l := range own {
		if _, err := fmt.Fprintf(out, "%+9.3fs  %-24s %s%s\n", l.Time.Sub(first).Seconds(), l.Instance, l.Message, describe(l.fields)); err != nil {
			return err
		}
	}
	return nil
}

// describe lists the fields of a line that say something, by name.
func describe(fields map[string]any) string {
	var names []string
	for name, value := range fields {
		switch name {
		case "time", "instance", "message", "request", "level":
		default:
			if value != "" && value != false && value != float64(0) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	var out strings.Builder
	for _, name := range names {
		fmt.Fprintf(&out, " %s=%v", name, fields[name])
	}
	return out.String()
}
