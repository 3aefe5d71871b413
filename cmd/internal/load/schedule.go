package load

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one request of the schedule.
type arrival struct {
	at           time.Duration
	organisation int // index in the experiment
	service      string
	// text identifies the request; it is the idempotency key of a change.
	text string
	// repeat marks the second sending of a change.
	repeat bool
}

// repeatDelay is when the second sending of a repeated change arrives, counted from the first. It is shorter than
// most changes take, so that both are under way together.
const repeatDelay = 3 * time.Millisecond

// schedule returns all arrivals of the experiment in order. It depends on the seed only, never on answers: the
// load is an open loop.
func schedule(x *Experiment) []arrival {
	var out []arrival
	for i, o := range x.Organisations {
		rng := rand.New(rand.NewPCG(x.Seed, uint64(i)))
		services := slices.Sorted(maps.Keys(o.Shares))
		for n, at := 0, next(rng, x, o, 0); at < x.Duration; n, at = n+1, next(rng, x, o, at) {
			a := arrival{at: at, organisation: i, service: choose(rng, services, o.Shares), text: fmt.Sprintf("%s-%d", o.Name, n)}
			out = append(out, a)
			if x.service(a.service).Shards == 0 && rng.Float64() < x.RepeatChanges {
				a.at, a.repeat = a.at+repeatDelay, true
				out = append(out, a)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

// next returns the arrival after at, by an exponential distance at the rate that is offered then.
func next(rng *rand.Rand, x *Experiment, o Organisation, at time.Duration) time.Duration {
	rate := o.Offered
	for _, f := range x.Faults {
		if f.Surge != nil && f.Surge.Organisation == o.Name && at >= f.At && at < f.At+f.For {
			rate *= f.Surge.Factor
		}
	}
	if rate <= 0 {
		return x.Duration
	}
	return at + time.Duration(rng.ExpFloat64()/rate*float64(time.Second))
}

func choose(rng *rand.Rand, services []string, shares map[string]float64) string {
	sum := 0.0
	for _, s := range services {
		sum += shares[s]
	}
	at := rng.Float64() * sum
	for _, s := range services {
		if at -= shares[s]; at < 0 {
			return s
		}
	}
	return services[len(services)-1]
}
