// Package settings reads the settings of an entry instance from YAML and checks them.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/samber/oops"

	"dogwooddrift.org/drift/caller"
)

// ErrInvalid means that the settings file cannot be read or fails validation.
var ErrInvalid = errors.New("invalid settings")

// Settings are the settings of an entry instance. Durations are written like "250ms".
type Settings struct {
	// ID is the ID of the instance in the platform's instance list.
	ID string `yaml:"id" validate:"required,max=64"`
	// Zone is the availability zone of the instance.
	Zone string `yaml:"zone" validate:"required,max=64"`
	// Platform is the base URL of the platform's configuration service.
	Platform string `yaml:"platform" validate:"required,url"`
	// Siblings are addresses of other entry instances, each an IP number with a port. An instance that starts while
	// the platform is down fetches the configuration from them. Not all of them need to be reachable.
	Siblings []string `yaml:"siblings" validate:"dive,ip_port"`
	Listen   Listen   `yaml:"listen"`
	Drain    Drain    `yaml:"drain"`
	Queue    Queue    `yaml:"queue"`
	Log      Log      `yaml:"log"`
	Policy   Policy   `yaml:"policy"`
}

// Policy selects between alternative mechanisms. It is experimental and exists only for comparisons by the load tool;
// deployments omit it.
type Policy struct {
	// Replica selects how a replica of a shard is chosen: by its measured load or at random.
	Replica string `yaml:"replica" validate:"oneof=measured random"`
	// Hedge enables hedged requests: a leg without a timely reply is sent a second time.
	Hedge string `yaml:"hedge" validate:"oneof=on off"`
	// Rates selects how an organisation's rate is divided among instances: statically, or with transfers between them.
	Rates string `yaml:"rates" validate:"oneof=transfer static"`
}

// Listen holds the addresses of the instance, each an IP number with a port.
type Listen struct {
	// Callers is the address for callers' requests.
	Callers string `yaml:"callers" validate:"required,ip_port"`
	// Siblings is the address for other entry instances.
	Siblings string `yaml:"siblings" validate:"required,ip_port"`
	// Operators is the address of the operators' interface: dump, health and metrics.
	Operators string `yaml:"operators" validate:"required,ip_port"`
}

// Drain holds the time limits of a graceful shutdown.
type Drain struct {
	// Notice is how long the instance keeps serving while it reports unready, so that the load balancer stops sending
	// requests to it.
	Notice time.Duration `yaml:"notice" validate:"min=0"`
	// Limit is how long the instance waits for the requests in flight after the notice time.
	Limit time.Duration `yaml:"limit" validate:"min=0"`
}

// Queue bounds the concurrent and queued requests of the instance.
type Queue struct {
	// Running is the maximum number of callers' requests that run concurrently.
	Running int `yaml:"running" validate:"min=1"`
	// Waiting is the maximum number of queued requests of all organisations together.
	Waiting int `yaml:"waiting" validate:"min=0"`
	// Wait is the longest time that a request stays queued.
	Wait time.Duration `yaml:"wait" validate:"min=0"`
}

// Limits returns q as caller.QueueLimits.
func (q Queue) Limits() caller.QueueLimits {
	return caller.QueueLimits{MaxRunning: q.Running, MaxWaiting: q.Waiting, MaxWait: q.Wait}
}

// Log holds the settings of the log.
type Log struct {
	// Level is the lowest level that is logged.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	// Failures is the maximum number of failed or partial requests that are logged each second, Successes that of other
	// requests. A line takes about a microsecond, so that the defaults cost a ten-thousandth of a core.
	Failures  float64 `yaml:"failures" validate:"min=0"`
	Successes float64 `yaml:"successes" validate:"min=0"`
}

// Default returns the settings that apply where the file sets none.
func Default() Settings {
	return Settings{
		Drain:  Drain{Notice: 2 * time.Second, Limit: 60 * time.Second},
		Queue:  Queue{Running: 64, Waiting: 512, Wait: 200 * time.Millisecond},
		Log:    Log{Level: "info", Failures: 100, Successes: 10},
		Policy: Policy{Replica: "measured", Hedge: "on", Rates: "transfer"},
	}
}

// Load reads and validates a settings file. Its errors are ErrInvalid and name the file and, for a fault in the text, the
// line or field.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.In("settings").Wrapf(ErrInvalid, "%v", err)
	}
	s, err := Parse(text)
	if err != nil {
		return Settings{}, oops.In("settings").Wrapf(ErrInvalid, "%s: %v", path, err)
	}
	return s, nil
}

// Parse decodes and validates settings in YAML. Unknown fields are errors.
func Parse(text []byte) (Settings, error) {
	s := Default()
	validate := validator.New()
	if err := validate.RegisterValidation("ip_port", isAddrPort); err != nil {
		return Settings{}, err
	}
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict(), yaml.Validator(validate)); err != nil {
		return Settings{}, errors.New(yaml.FormatError(err, false, true))
	}
	if err := validate.Struct(s); err != nil {
		return Settings{}, fmt.Errorf("%w", err)
	}
	return s, nil
}

func isAddrPort(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}
