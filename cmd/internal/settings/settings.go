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

// ErrInvalid means that the settings cannot be used.
var ErrInvalid = errors.New("invalid settings")

// Settings of one entry instance. Durations are written like "250ms".
type Settings struct {
	// ID is the name of the instance in the platform's list.
	ID string `yaml:"id" validate:"required,max=64"`
	// Zone is the availability zone of the instance.
	Zone string `yaml:"zone" validate:"required,max=64"`
	// Platform is the base URL of the platform's configuration service.
	Platform string `yaml:"platform" validate:"required,url"`
	// Siblings are addresses of other entry instances, each an IP number with a port. An instance that starts while
	// the platform is down asks them for the configuration. They need not all be live.
	Siblings []string `yaml:"siblings" validate:"dive,ip_port"`
	Listen   Listen   `yaml:"listen"`
	Drain    Drain    `yaml:"drain"`
	Queue    Queue    `yaml:"queue"`
	Log      Log      `yaml:"log"`
	Policy   Policy   `yaml:"policy"`
}

// Policy selects between mechanisms. It is experimental and serves comparisons by the load tool only;
// deployments leave it out.
type Policy struct {
	// Replica is how a replica of a shard is chosen: by measured load, or at random.
	Replica string `yaml:"replica" validate:"oneof=measured random"`
	// Hedge says whether late legs are sent a second time.
	Hedge string `yaml:"hedge" validate:"oneof=on off"`
	// Rates is how an organisation's rate is split over instances: with transfers between them, or static.
	Rates string `yaml:"rates" validate:"oneof=transfer static"`
}

// Listen holds the addresses of the instance, each an IP number with a port.
type Listen struct {
	// Callers is the address for requests of callers.
	Callers string `yaml:"callers" validate:"required,ip_port"`
	// Siblings is the address for other entry instances.
	Siblings string `yaml:"siblings" validate:"required,ip_port"`
	// Operators is the address for the dump, health and metrics.
	Operators string `yaml:"operators" validate:"required,ip_port"`
}

// Drain holds the times of a planned stop.
type Drain struct {
	// Notice is how long the instance serves on while it reports unready, so that the balancer turns away.
	Notice time.Duration `yaml:"notice" validate:"min=0"`
	// Limit is how long running requests may take to finish.
	Limit time.Duration `yaml:"limit" validate:"min=0"`
}

// Queue bounds the work of the instance.
type Queue struct {
	// Running is how many requests of callers run at a time.
	Running int `yaml:"running" validate:"min=1"`
	// Waiting is how many requests of callers wait, of all organisations together.
	Waiting int `yaml:"waiting" validate:"min=0"`
	// Wait is how long a request waits at most.
	Wait time.Duration `yaml:"wait" validate:"min=0"`
}

// Limits converts q.
func (q Queue) Limits() caller.QueueLimits {
	return caller.QueueLimits{MaxRunning: q.Running, MaxWaiting: q.Waiting, MaxWait: q.Wait}
}

// Log holds the settings of the log.
type Log struct {
	// Level is the lowest level that is written.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	// Failures and Successes are how many failed or partial and how many other requests are logged each second. A line
	// takes about a microsecond, so that the defaults cost a ten-thousandth of a core.
	Failures  float64 `yaml:"failures" validate:"min=0"`
	Successes float64 `yaml:"successes" validate:"min=0"`
}

// Default returns the settings that a file need not name.
func Default() Settings {
	return Settings{
		Drain:  Drain{Notice: 2 * time.Second, Limit: 60 * time.Second},
		Queue:  Queue{Running: 64, Waiting: 512, Wait: 200 * time.Millisecond},
		Log:    Log{Level: "info", Failures: 100, Successes: 10},
		Policy: Policy{Replica: "measured", Hedge: "on", Rates: "transfer"},
	}
}

// Load reads and checks a settings file. Errors name the file, the line and the field.
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

// Parse reads and checks settings. Unknown fields are refused.
func Parse(text []byte) (Settings, error) {
	s := Default()
	check := validator.New()
	if err := check.RegisterValidation("ip_port", isAddrPort); err != nil {
		return Settings{}, err
	}
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict(), yaml.Validator(check)); err != nil {
		return Settings{}, errors.New(yaml.FormatError(err, false, true))
	}
	if err := check.Struct(s); err != nil {
		return Settings{}, fmt.Errorf("%w", err)
	}
	return s, nil
}

func isAddrPort(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}
