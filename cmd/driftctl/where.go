package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"dogwooddrift.org/drift/cmd/internal/edge"
)

const (
	// whereTimeout bounds the question to an instance.
	whereTimeout = 5 * time.Second
	// maxErrorBytes bounds the printed part of a refused question.
	maxErrorBytes = 1000
)

func whereCommand() *cli.Command {
	return &cli.Command{
		Name:      "where",
		Usage:     "ask a running instance where a request would go now and why, without sending it",
		ArgsUsage: "ADDRESS HOST PATH (ADDRESS: of the port with /metrics of the instance)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "organisation", Usage: "name of the organisation that the request runs for; none if empty"},
			&cli.IntFlag{Name: "services", Usage: "number of services or shards to show", Value: 4},
			&cli.BoolFlag{Name: "json", Usage: "print the reply as JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 3 {
				return errors.New("where takes an address, a host and a path")
			}
			values := url.Values{"host": {c.Args().Get(1)}, "path": {c.Args().Get(2)}, "services": {strconv.Itoa(c.Int("services"))}}
			if name := c.String("organisation"); name != "" {
				values.Set("organisation", name)
			}
			return where(ctx, c.Root().Writer, c.Args().First(), values, c.Bool("json"))
		},
	}
}

// where asks the instance with the given operators' address and prints its reply.
func where(ctx context.Context, out io.Writer, address string, values url.Values, asJSON bool) error {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	var reply edge.Where
	if err := askInstance(ctx, address, "/where?"+values.Encode(), &reply); err != nil {
		return err
	}
	if asJSON {
		return printJSON(out, reply)
	}
	_, err := io.WriteString(out, whereText(&reply))
	return err
}

// whereText describes the reply of an instance in a few lines.
func whereText(w *edge.Where) string {
	b := &strings.Builder{}
	line := func(format string, args ...any) { fmt.Fprintf(b, format+"\n", args...) }
	line("instance %s in zone %s, routing version %d in force for %s", w.Instance, w.Zone, w.RoutingVersion, ms(w.RoutingAgeMs))
	if w.Route == "" {
		line("refused: %s, %s", w.Refused, w.Reason)
		return b.String()
	}
	who := "no organisation"
	if w.Organisation != "" {
		who = "organisation " + w.Organisation
	}
	line("route %s (%s), %s, priority %d, rank %d of %d", w.Route, w.Prefix, who, w.Priority, w.Rank, w.Ranks)
	if w.Runs {
		line("would run; final answer in %s at the latest, sends start %s late", ms(w.TimeLeftMs), ms(w.SendDelayMs))
	} else {
		line("refused: %s, %s, retry after %s", w.Refused, w.Reason, ms(w.RetryAfterMs))
	}
	switch a := w.Admission; {
	case a == nil:
		line("admission: all requests have one priority, each is admitted")
	default:
		decision := "admits it"
		if !a.Runs {
			decision = "refuses it, reason " + a.Reason
		}
		if a.LackMs > 0 {
			decision += fmt.Sprintf(", the time left is %s too short", ms(a.LackMs))
		}
		line("admission: %s; %.0f%% of the usual rate cut, %.0f%% of the present requests admitted", decision, a.Cut*100, a.Admitted*100)
	}
	if w.MinCoverage > 0 || w.GroupCount > 0 || w.ServiceCount > len(w.Services) {
		line("gathered answer planned in %s, %.0f%% of the parts needed", ms(w.PlannedMs), w.MinCoverage*100)
	}
	writeGroups(line, w)
	line("%d services, %d without a target, %d without a free place; %d shown, those in trouble and the slowest first",
		w.ServiceCount, w.WithoutTarget, w.WithoutPlace, len(w.Services))
	for i := range w.Services {
		writeService(line, &w.Services[i])
	}
	return b.String()
}

// writeGroups prints the groups that siblings gather.
func writeGroups(line func(string, ...any), w *edge.Where) {
	if w.GroupCount == 0 {
		line("this instance sends to the targets itself")
		return
	}
	line("split into %d groups, the first owner is passed over in %d; the owners choose targets by what they know", w.GroupCount, w.OwnersAvoided)
	for _, g := range w.Groups {
		line("  %d shards, gathered by %s", g.Shards, g.Asked)
		for _, o := range g.Owners {
			line("    %s", ownerText(&o))
		}
	}
}

func ownerText(o *edge.WhereOwner) string {
	text := o.ID + " in " + o.Zone
	switch {
	case o.Self:
		return text + ": this instance"
	case o.LastOutcome == "":
		return text + ": not asked yet"
	}
	text += fmt.Sprintf(": %d replied, %d declined, %d lost, last %s %s ago", o.Replied, o.Declined, o.Lost, o.LastOutcome, ms(o.LastAgeMs))
	if o.LastReason != "" {
		text += " (" + o.LastReason + ")"
	}
	if o.LatencyMs > 0 {
		text += ", usually " + ms(o.LatencyMs)
	}
	if o.Avoided {
		text += ", passed over: did not respond lately"
	}
	return text
}

// writeService prints a service and its targets.
func writeService(line func(string, ...any), s *edge.WhereService) {
	title := s.Name
	if s.Weight > 0 {
		title += fmt.Sprintf(", weight %g", s.Weight)
	}
	if s.OtherRegions > 0 {
		title += fmt.Sprintf(", %d targets of other regions left out", s.OtherRegions)
	}
	line("  %s", title)
	if len(s.Targets) == 0 {
		line("    no target")
	}
	for i := range s.Targets {
		line("    %s", targetText(&s.Targets[i]))
	}
}

func targetText(t *edge.WhereTarget) string {
	text := "  "
	if t.First {
		text = "> "
	}
	text += t.ID + " in " + t.Zone
	if t.Limit > 0 {
		text += fmt.Sprintf(": expected %s, score %s, %d of %d outstanding", ms(t.ExpectedMs), ms(t.ScoreMs), t.Outstanding, t.Limit)
	}
	if l := t.Load; l != nil {
		text += fmt.Sprintf(", reported %d requests at %d slots, pace %g, %s ago, trusted %.0f%%, slowness %g", l.Requests, l.Slots, l.Pace, ms(l.AgeMs), l.Trust*100, l.Slowness)
	} else if t.Limit > 0 {
		text += ", reports no load"
	}
	if t.FailureRate > 0 {
		text += fmt.Sprintf(", %.0f%% failed", t.FailureRate*100)
	}
	if len(t.Reasons) > 0 {
		text += "; " + strings.Join(t.Reasons, "; ")
	}
	return text
}

// ms returns a number of milliseconds as text.
func ms(x float64) string {
	d := time.Duration(x * float64(time.Millisecond))
	if d >= 100*time.Millisecond || d <= -100*time.Millisecond {
		return d.Round(time.Millisecond).String()
	}
	return d.Round(10 * time.Microsecond).String()
}
