package load

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one scheduled request.
type arrival struct {
	at           time.Duration
	organisation int // index in Experiment.Organisations
	service      string
	// text is the query or change text, unique in the schedule except for repeats. It is the idempotency key of a change.
	text string
	// repeat is true for the second attempt of a change.
	repeat bool
}

// repeatDelay is the time from the first attempt of a repeated change to the second. It is shorter than most changes take,
// so that both attempts are in flight at the same time.
const repeatDelay = 3 * time.Millisecond

// schedule returns all arrivals of the experiment in order of time. It depends on the experiment and its seed only, not
// on responses, so that the load is an open loop.
func schedule(x *Experiment) []arrival {
	var out []arrival
	for i, o := range x.Organisations {
		rng := rand.New(rand.NewPCG(x.Seed, uint64(i)))
		services := slices.Sorted(maps.Keys(o.Shares))
		for n, at := 0, nextArrival(rng, x, o, 0); at < x.Duration; n, at = n+1, nextArrival(rng, x, o, at) {
			a := arrival{at: at, organisation: i, service: chooseService(rng, services, o.Shares), text: fmt.Sprintf("%s-%d", o.Name, n)}
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

// nextArrival returns the time of the organisation's next arrival after at. The interval is exponentially distributed, with
// the rate offered at that time including surges.
func nextArrival(rng *rand.Rand, x *Experiment, o Organisation, at time.Duration) time.Duration {
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

// chooseService returns a random service, weighted by shares.
func chooseService(rng *rand.Rand, services []string, shares map[string]float64) string {
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
