// Package demo runs a small deployment in one process: three availability zones, emulated targets, an emulated
// platform, and entry instances that serve real requests over loopback.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"dogwooddrift.org/drift/cmd/internal/load"
	"dogwooddrift.org/drift/cmd/internal/settings"
	"dogwooddrift.org/drift/cmd/internal/standin"
)

const (
	entryInstances = 6
	serviceTime    = 2 * time.Millisecond
	zoneDelay      = 500 * time.Microsecond
	requestTimeout = time.Second
)

// newExperiment returns the demo's experiment: the services of Andegaarden (design page, 1.5), four of its
// organisations, and an index that is repartitioned while queries run. The permitted rates are far above the offered
// load, so that the outcome does not depend on the speed of the machine.
func newExperiment(duration time.Duration, seed uint64) load.Experiment {
	sharded := func(name string, shards int) standin.ServiceOptions {
		return standin.ServiceOptions{Name: name, Shards: shards, Replicas: 2, Slots: 2, Connections: 25, ServiceTime: serviceTime}
	}
	unsharded := func(name string, targets int) standin.ServiceOptions {
		return standin.ServiceOptions{Name: name, Replicas: targets, Slots: 6, Connections: 110, ServiceTime: serviceTime}
	}
	organisation := func(name string, offeredRate float64, isHost bool) load.Organisation {
		return load.Organisation{
			Name: name, Host: isHost, Rate: 2000, Burst: 2000, Weight: 1, Offered: offeredRate,
			Shares: map[string]float64{"shopfront": 4, "farm-portal": 2, "subscriptions": 2, "route-planner": 1},
		}
	}
	return load.Experiment{
		Name: "demo", Seed: seed, Duration: duration, Timeout: requestTimeout,
		Zones: []string{"roskilde", "koege", "holbaek"}, Instances: entryInstances, ZoneDelay: zoneDelay,
		Services: []standin.ServiceOptions{
			sharded("shopfront", 20), sharded("farm-portal", 30), unsharded("subscriptions", 5), unsharded("route-planner", 3),
		},
		Organisations: []load.Organisation{
			organisation("nordlys", 40, true), organisation("andegaarden", 60, false),
			organisation("hvedemark", 30, false), organisation("bakkely", 10, false),
		},
		Faults: []load.Fault{
			{At: duration / 3, Snapshot: &load.SnapshotFault{Service: "shopfront", Shards: 24, Step: 5 * time.Millisecond}},
		},
		Policy: settings.Default().Policy,
	}
}

// Run starts the deployment, sends requests for the duration and writes a table of the results to out. It returns
// load.ErrUntruthful if a reply contradicted the emulated targets, load.ErrViolation if a request at a target contained
// a caller's key, and another error if no request was answered.
func Run(ctx context.Context, out io.Writer, duration time.Duration, seed uint64) error {
	x := newExperiment(duration, seed)
	report, err := load.Run(ctx, x, x.Policy)
	if err != nil {
		return err
	}
	report.WriteClasses(out)
	report.WriteFindings(out)
	if len(report.Untruthful) > 0 {
		return fmt.Errorf("%w: %d findings", load.ErrUntruthful, len(report.Untruthful))
	}
	if n := report.Targets.KeysSeen; n > 0 {
		return fmt.Errorf("%w: %d requests at targets carried a caller's key", load.ErrViolation, n)
	}
	if answeredRequests(report) == 0 {
		return errors.New("no request was answered")
	}
	_, err = fmt.Fprintln(out, "all answers were correct")
	return err
}

func answeredRequests(r *load.Report) int {
	n := 0
	for _, c := range r.Classes {
		n += c.Answered
	}
	return n
}
