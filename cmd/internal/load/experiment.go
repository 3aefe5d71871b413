// Package load runs experiments: it sends requests to a deployment in an open loop, switches faults by a
// schedule, checks every answer against the stand-ins, and reports how well callers were served.
package load

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/samber/oops"

	"dogwooddrift.org/drift/cmd/internal/deploy"
	"dogwooddrift.org/drift/cmd/internal/settings"
	"dogwooddrift.org/drift/cmd/internal/standin"
)

// ErrInvalid means that an experiment file cannot be used.
var ErrInvalid = errors.New("invalid experiment")

// Experiment is one run of the load tool.
type Experiment struct {
	Name string `yaml:"name" validate:"required"`
	// Seed fixes arrivals, texts and the random choices of the stand-ins.
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration" validate:"min=1ms,max=10m"`
	// Warmup is a first part of the duration that the latencies leave out. All checks cover it.
	Warmup    time.Duration `yaml:"warmup" validate:"min=0"`
	Zones     []string      `yaml:"zones" validate:"min=1,unique"`
	Instances int           `yaml:"instances" validate:"min=1,max=64"`
	// ZoneDelay and ClientDelay are one way.
	ZoneDelay   time.Duration `yaml:"zone_delay" validate:"min=0"`
	ClientDelay time.Duration `yaml:"client_delay" validate:"min=0"`
	// Timeout is what callers wait.
	Timeout       time.Duration            `yaml:"timeout" validate:"min=1ms,max=1m"`
	Services      []standin.ServiceOptions `yaml:"services" validate:"min=1"`
	Organisations []Organisation           `yaml:"organisations" validate:"min=1,dive"`
	// RepeatChanges is the part of changes that the caller sends a second time, with the same key, while the
	// first may still run.
	RepeatChanges float64         `yaml:"repeat_changes" validate:"min=0,max=1"`
	Faults        []Fault         `yaml:"faults" validate:"dive"`
	Policy        settings.Policy `yaml:"policy"`
	// Baseline replaces Policy when the run is compared.
	Baseline settings.Policy `yaml:"baseline"`
}

// Organisation is an organisation with what it sends.
type Organisation struct {
	Name   string  `yaml:"name" validate:"required"`
	Host   bool    `yaml:"host"`
	Rate   float64 `yaml:"rate" validate:"gt=0"`
	Burst  float64 `yaml:"burst" validate:"min=1"`
	Weight float64 `yaml:"weight" validate:"gt=0"`
	// Offered is in requests a second; arrivals are random with that mean.
	Offered float64 `yaml:"offered" validate:"min=0"`
	// Shares is the part of its requests that goes to each service, relative to each other.
	Shares map[string]float64 `yaml:"shares" validate:"min=1"`
	// Instance sends all its requests to one entry instance, counted from 0; nil means by the balancer.
	Instance *int `yaml:"instance"`
}

// Fault is one entry of the schedule. Exactly one of its kinds is set.
type Fault struct {
	// At is counted from the start, For is how long a fault that ends lasts.
	At  time.Duration `yaml:"at" validate:"min=0"`
	For time.Duration `yaml:"for" validate:"min=0"`

	Target   *TargetFault            `yaml:"target"`
	Action   *TargetAction           `yaml:"action"`
	Snapshot *SnapshotFault          `yaml:"snapshot"`
	Platform *standin.PlatformFaults `yaml:"platform"`
	// ZoneOut takes a zone out of service.
	ZoneOut string `yaml:"zone_out"`
	// Links changes the links of a zone.
	Links *LinkFault `yaml:"links"`
	// Instance changes an entry instance.
	Instance *InstanceFault `yaml:"instance"`
	// Surge multiplies what an organisation sends.
	Surge *SurgeFault `yaml:"surge"`
	// WithdrawKey takes an organisation's keys away.
	WithdrawKey string `yaml:"withdraw_key"`
	// Crash sends requests that crash the targets that run them.
	Crash *CrashFault `yaml:"crash"`
}

// TargetFault sets faults of targets; at the end they are healthy.
type TargetFault struct {
	standin.Selection `yaml:",inline"`
	Faults            standin.Faults `yaml:"faults"`
}

// TargetAction performs an action on targets.
type TargetAction struct {
	standin.Selection `yaml:",inline"`
	Do                standin.Action `yaml:"do" validate:"required"`
}

// SnapshotFault publishes a new index snapshot.
type SnapshotFault struct {
	Service string        `yaml:"service" validate:"required"`
	Shards  int           `yaml:"shards" validate:"min=1"`
	Step    time.Duration `yaml:"step" validate:"min=0"`
}

// LinkFault changes the links of a zone to all others.
type LinkFault struct {
	Zone     string           `yaml:"zone" validate:"required"`
	State    deploy.LinkState `yaml:"state" validate:"oneof=cut frozen"`
	Platform bool             `yaml:"platform"`
}

// InstanceFault changes an entry instance, counted from 0 in the order of IDs at that moment.
type InstanceFault struct {
	Index int    `yaml:"index" validate:"min=0"`
	Do    string `yaml:"do" validate:"oneof=stop kill replace"`
}

// SurgeFault multiplies what an organisation sends.
type SurgeFault struct {
	Organisation string  `yaml:"organisation" validate:"required"`
	Factor       float64 `yaml:"factor" validate:"gt=0"`
}

// CrashFault sends marked requests, one after the other, as a caller does that repeats its request.
type CrashFault struct {
	Organisation string `yaml:"organisation" validate:"required"`
	Service      string `yaml:"service" validate:"required"`
	Count        int    `yaml:"count" validate:"min=1,max=100"`
}

// Load reads and checks an experiment file. Errors name the file, the line and the field.
func Load(path string) (Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, oops.In("load").Wrapf(ErrInvalid, "%v", err)
	}
	x, err := Parse(text)
	if err != nil {
		return Experiment{}, oops.In("load").Wrapf(ErrInvalid, "%s: %v", path, err)
	}
	return x, nil
}

// Parse reads and checks an experiment. Unknown fields are refused.
func Parse(text []byte) (Experiment, error) {
	policy := settings.Default().Policy
	x := Experiment{Policy: policy, Baseline: policy, Timeout: time.Second}
	check := validator.New()
	if err := yaml.UnmarshalWithOptions(text, &x, yaml.Strict()); err != nil {
		return Experiment{}, errors.New(yaml.FormatError(err, false, true))
	}
	if err := check.Struct(x); err != nil {
		return Experiment{}, err
	}
	return x, x.check()
}

// check finds names that do not exist and faults with no kind or more than one.
func (x *Experiment) check() error {
	services, organisations, zones := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, s := range x.Services {
		services[s.Name] = true
	}
	for _, z := range x.Zones {
		zones[z] = true
	}
	for _, o := range x.Organisations {
		organisations[o.Name] = true
		for name := range o.Shares {
			if !services[name] {
				return fmt.Errorf("organisation %q has a share of service %q, which does not exist", o.Name, name)
			}
		}
		if o.Instance != nil && (*o.Instance < 0 || *o.Instance >= x.Instances) {
			return fmt.Errorf("organisation %q sends to instance %d of %d", o.Name, *o.Instance, x.Instances)
		}
	}
	if x.Warmup >= x.Duration {
		return fmt.Errorf("warmup %v is not shorter than duration %v", x.Warmup, x.Duration)
	}
	for i, f := range x.Faults {
		if err := f.check(services, organisations, zones); err != nil {
			return fmt.Errorf("faults[%d]: %w", i, err)
		}
	}
	return nil
}

func (f *Fault) check(services, organisations, zones map[string]bool) error {
	kinds := 0
	for _, set := range []bool{
		f.Target != nil, f.Action != nil, f.Snapshot != nil, f.Platform != nil, f.ZoneOut != "", f.Links != nil,
		f.Instance != nil, f.Surge != nil, f.WithdrawKey != "", f.Crash != nil,
	} {
		if set {
			kinds++
		}
	}
	if kinds != 1 {
		return fmt.Errorf("%d kinds of fault are set, exactly one is needed", kinds)
	}
	var service, organisation, zone string
	switch {
	case f.Target != nil:
		service, zone = f.Target.Service, f.Target.Zone
	case f.Action != nil:
		service, zone = f.Action.Service, f.Action.Zone
	case f.Snapshot != nil:
		service = f.Snapshot.Service
	case f.Links != nil:
		zone = f.Links.Zone
	case f.Surge != nil:
		organisation = f.Surge.Organisation
	case f.Crash != nil:
		service, organisation = f.Crash.Service, f.Crash.Organisation
	default:
		zone, organisation = f.ZoneOut, f.WithdrawKey
	}
	for _, n := range []struct {
		kind, name string
		known      map[string]bool
	}{{"service", service, services}, {"organisation", organisation, organisations}, {"zone", zone, zones}} {
		if n.name != "" && !n.known[n.name] {
			return fmt.Errorf("%s %q does not exist", n.kind, n.name)
		}
	}
	return nil
}

// service returns the service of that name.
func (x *Experiment) service(name string) standin.ServiceOptions {
	for _, s := range x.Services {
		if s.Name == name {
			return s
		}
	}
	return standin.ServiceOptions{}
}

// options returns the deployment that the experiment runs on.
func (x *Experiment) options(policy settings.Policy) deploy.Options {
	o := deploy.Options{
		Zones: x.Zones, Instances: x.Instances, Services: x.Services, ZoneDelay: x.ZoneDelay, ClientDelay: x.ClientDelay,
		Seed: x.Seed, Adjust: func(s *settings.Settings) { s.Policy = policy },
	}
	for _, org := range x.Organisations {
		o.Organisations = append(o.Organisations, deploy.Organisation{
			Name: org.Name, Key: key(org.Name), IsHost: org.Host, Rate: org.Rate, Burst: org.Burst, Weight: org.Weight,
		})
	}
	return o
}

// key is the plain key of an organisation in experiments.
func key(organisation string) string { return "key-of-" + organisation }
