// Package load runs load experiments. It sends requests to a deployment in an open loop, injects faults on a schedule,
// checks every answer against the emulated targets, and reports latency, coverage, refusals and guarantee violations.
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

// ErrInvalid means that an experiment file cannot be read, or that its content is invalid.
var ErrInvalid = errors.New("invalid experiment")

// Experiment defines one run of the load tool.
type Experiment struct {
	Name string `yaml:"name" validate:"required"`
	// Seed determines the arrivals, the request texts and the random choices of the emulated targets.
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration" validate:"min=1ms,max=10m"`
	// Warmup is the initial part of Duration whose requests the service measures leave out. All checks cover them.
	Warmup    time.Duration `yaml:"warmup" validate:"min=0"`
	Zones     []string      `yaml:"zones" validate:"min=1,unique"`
	Instances int           `yaml:"instances" validate:"min=1,max=64"`
	// ZoneDelay is the one-way network delay between zones, ClientDelay the one-way delay between callers and instances.
	ZoneDelay   time.Duration `yaml:"zone_delay" validate:"min=0"`
	ClientDelay time.Duration `yaml:"client_delay" validate:"min=0"`
	// Timeout is the time limit that callers state in each request.
	Timeout       time.Duration            `yaml:"timeout" validate:"min=1ms,max=1m"`
	Services      []standin.ServiceOptions `yaml:"services" validate:"min=1"`
	Organisations []Organisation           `yaml:"organisations" validate:"min=1,dive"`
	// RepeatChanges is the fraction of changes that the caller sends a second time with the same idempotency key while
	// the first attempt may still be in flight.
	RepeatChanges float64         `yaml:"repeat_changes" validate:"min=0,max=1"`
	Faults        []Fault         `yaml:"faults" validate:"dive"`
	Policy        settings.Policy `yaml:"policy"`
	// Baseline is the policy of the second run in a comparison.
	Baseline settings.Policy `yaml:"baseline"`
}

// Organisation defines an organisation, its limits and the load that its callers offer.
type Organisation struct {
	Name   string  `yaml:"name" validate:"required"`
	Host   bool    `yaml:"host"`
	Rate   float64 `yaml:"rate" validate:"gt=0"`
	Burst  float64 `yaml:"burst" validate:"min=1"`
	Weight float64 `yaml:"weight" validate:"gt=0"`
	// Offered is the mean rate of the arrivals, which form a Poisson process, in requests per second.
	Offered float64 `yaml:"offered" validate:"min=0"`
	// Shares are the relative weights that divide its requests among the services, by service name.
	Shares map[string]float64 `yaml:"shares" validate:"min=1"`
	// Instance is the index of the entry instance that receives all its requests, counted from 0. If it is nil, the load
	// balancer selects an instance for each request.
	Instance *int `yaml:"instance"`
}

// Fault is one entry of the fault schedule. Exactly one of its kinds is set.
type Fault struct {
	// At is the time from the start of the run to the start of the fault. For is the duration of a fault that is reverted.
	At  time.Duration `yaml:"at" validate:"min=0"`
	For time.Duration `yaml:"for" validate:"min=0"`

	Target   *TargetFault            `yaml:"target"`
	Action   *TargetAction           `yaml:"action"`
	Snapshot *SnapshotFault          `yaml:"snapshot"`
	Platform *standin.PlatformFaults `yaml:"platform"`
	// ZoneOut takes a zone out of service.
	ZoneOut string `yaml:"zone_out"`
	// Links cuts or freezes the network links of a zone.
	Links *LinkFault `yaml:"links"`
	// Instance stops, kills or replaces an entry instance.
	Instance *InstanceFault `yaml:"instance"`
	// Surge multiplies the request rate of an organisation.
	Surge *SurgeFault `yaml:"surge"`
	// WithdrawKey is the organisation whose API keys are withdrawn.
	WithdrawKey string `yaml:"withdraw_key"`
	// Crash sends requests that crash each target that runs them.
	Crash *CrashFault `yaml:"crash"`
}

// TargetFault sets faults of the selected targets and clears them at the end.
type TargetFault struct {
	standin.Selection `yaml:",inline"`
	Faults            standin.Faults `yaml:"faults"`
}

// TargetAction performs an action on the selected targets.
type TargetAction struct {
	standin.Selection `yaml:",inline"`
	Do                standin.Action `yaml:"do" validate:"required"`
}

// SnapshotFault publishes a new index snapshot with the given number of shards. The targets add it one after the other,
// with a pause of Step after each, and then remove the previous snapshot in the same way.
type SnapshotFault struct {
	Service string        `yaml:"service" validate:"required"`
	Shards  int           `yaml:"shards" validate:"min=1"`
	Step    time.Duration `yaml:"step" validate:"min=0"`
}

// LinkFault sets the state of the links between a zone and all other zones, and of its links to the platform if Platform
// is true.
type LinkFault struct {
	Zone     string           `yaml:"zone" validate:"required"`
	State    deploy.LinkState `yaml:"state" validate:"oneof=cut frozen"`
	Platform bool             `yaml:"platform"`
}

// InstanceFault stops, kills or replaces an entry instance. Index counts from 0 in the order of the IDs of the instances
// that run when the fault starts.
type InstanceFault struct {
	Index int    `yaml:"index" validate:"min=0"`
	Do    string `yaml:"do" validate:"oneof=stop kill replace"`
}

// SurgeFault multiplies the request rate of an organisation by Factor.
type SurgeFault struct {
	Organisation string  `yaml:"organisation" validate:"required"`
	Factor       float64 `yaml:"factor" validate:"gt=0"`
}

// CrashFault sends Count requests that crash targets, one after the other, like a caller that retries a request.
type CrashFault struct {
	Organisation string `yaml:"organisation" validate:"required"`
	Service      string `yaml:"service" validate:"required"`
	Count        int    `yaml:"count" validate:"min=1,max=100"`
}

// Load reads and validates an experiment file. Errors wrap ErrInvalid and name the file; decoding errors also name the
// line, validation errors the field.
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

// Parse decodes and validates an experiment. An unknown field is an error.
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

// check validates references to services, organisations, zones and instances, the warm-up time, and that each fault has
// exactly one kind.
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

// service returns the service with the given name, or the zero value if none exists.
func (x *Experiment) service(name string) standin.ServiceOptions {
	for _, s := range x.Services {
		if s.Name == name {
			return s
		}
	}
	return standin.ServiceOptions{}
}

// options returns the options of the experiment's deployment under the given policy.
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

// key returns the plaintext API key of an organisation in experiments.
func key(organisation string) string { return "key-of-" + organisation }
