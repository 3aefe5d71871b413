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

// stateChangeWindow is how long before and after a request the state changes of instances are shown with it.
const stateChangeWindow = 2 * time.Second

// maxLineBytes is the length of the longest accepted log line.
const maxLineBytes = 1 << 20

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "join the log lines of several instances for one request into a timeline",
		ArgsUsage: "REQUEST-ID FILE... (- for standard input)",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "beliefs", Usage: "also show the instances' state changes within 2 s of the request"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return errors.New("explain takes a request ID and at least one log file")
			}
			var lines []logLine
			for _, path := range c.Args().Slice()[1:] {
				read, err := readLog(path)
				if err != nil {
					return err
				}
				lines = append(lines, read...)
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
	// HeldMs is for how many milliseconds the line was held back to be written with other changes.
	HeldMs int64 `json:"held_ms"`
	fields map[string]any
}

// from returns the time of the first event that the line tells.
func (l *logLine) from() time.Time { return l.Time.Add(-time.Duration(l.HeldMs) * time.Millisecond) }

// readLog returns the instances' log lines in the file at path, or on standard input if path is "-". Other lines are
// skipped.
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
	scanner.Buffer(nil, maxLineBytes)
	var out []logLine
	for scanner.Scan() {
		// Log collectors can add a prefix to the line.
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[start:]), &l) != nil || json.Unmarshal([]byte(text[start:]), &l.fields) != nil || l.Message == "" {
			continue // not logged by an instance
		}
		out = append(out, l)
	}
	return out, scanner.Err()
}

// explain prints the log lines of a request in order of time, with times relative to its first line. With
// withStateChanges, it adds the lines without a request ID that were logged within stateChangeWindow of the request.
func explain(out io.Writer, id string, lines []logLine, withStateChanges bool) error {
	var selected []logLine
	for _, l := range lines {
		if l.Request == id {
			selected = append(selected, l)
		}
	}
	if len(selected) == 0 {
		return fmt.Errorf("no log line has request ID %s: the request was not logged (see the metric log_requests_left_out) or never arrived", id)
	}
	first, last := selected[0].Time, selected[0].Time
	for _, l := range selected {
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	if withStateChanges {
		for _, l := range lines {
			if l.Request == "" && l.Time.After(first.Add(-stateChangeWindow)) && l.from().Before(last.Add(stateChangeWindow)) {
				selected = append(selected, l)
			}
		}
	}
	slices.SortStableFunc(selected, func(a, b logLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	for _, l := range selected {
		if _, err := fmt.Fprintf(out, "%+9.3fs  %-24s %s%s\n", l.Time.Sub(first).Seconds(), l.Instance, l.Message, formatFields(l.fields)); err != nil {
			return err
		}
	}
	return nil
}

// continuationIndent precedes the elements of a list, which have a line each.
const continuationIndent = "                "

// formatFields returns the fields of a log line in order of their names, lists last, without empty values and the fields that
// are printed separately.
func formatFields(fields map[string]any) string {
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
	var out, lists strings.Builder
	for _, name := range names {
		if list, ok := fields[name].([]any); ok {
			for _, value := range list {
				fmt.Fprintf(&lists, "\n%s%s: %v", continuationIndent, name, value)
			}
			continue
		}
		fmt.Fprintf(&out, " %s=%v", name, fields[name])
	}
	return out.String() + lists.String()
}
