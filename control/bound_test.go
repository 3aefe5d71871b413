package control

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwooddrift.org/drift/sibling"
)

// transition is the time after a change of the document in which the larger of the old and the new rate is allowed. It
// covers the propagation of the document and the delay before an increase applies.
const transition = 12 * time.Second

// TestMain gives the property tests a fixed seed and a number of cases that CI can afford, unless flags set others.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "12", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// Guards against more admitted requests than rate x w + burst in any window of length w under any sequence of failures.
// One case is not drawn, since docs/decisions/rate-shares.md lists it as not covered: an instance that is missing from
// the platform's list while it is cut off from the platform and continues to run.
func TestWindowBoundUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"))
		s.listLag = rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second}).Draw(t, "lag")
		s.lossy = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lossy")
		rate := rapid.SampledFrom([]float64{20, 60, 150}).Draw(t, "rate")
		burst := rate * rapid.SampledFrom([]float64{0.25, 1, 3}).Draw(t, "burst")
		const minBurst = 2 // the guest gets half of it, and documents require at least 1
		s.publishDocument(simDocument(rate, burst, equalFractions()))
		for i := range rapid.IntRange(3, 12).Draw(t, "instances") {
			s.add(simZones[i%rapid.IntRange(1, 3).Draw(t, "zones")])
		}
		s.publish()
		cutPairs := map[[2]*simInstance]bool{}
		cutZones := map[string]bool{}
		s.cut = func(a, b *simInstance) bool {
			return cutPairs[[2]*simInstance{a, b}] || cutPairs[[2]*simInstance{b, a}] ||
				a.zone != b.zone && (cutZones[a.zone] || cutZones[b.zone])
		}
		load := map[*simInstance]float64{}
		var changed time.Duration
		oldRate, oldBurst := rate, burst
		pick := func(label string) *simInstance {
			return s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(t, label)]
		}
		for range rapid.IntRange(6, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "action") {
			case 0:
				in := pick("frozen")
				in.frozenUntil = s.now + time.Duration(rapid.IntRange(1, 200).Draw(t, "freeze"))*100*time.Millisecond
			case 1: // replaced: the old process is dead, or only frozen for some time
				in := pick("replaced")
				if in.platformCut {
					break
				}
				in.delisted = true
				if rapid.Bool().Draw(t, "dead") {
					in.dead = true
				} else {
					in.frozenUntil = s.now + time.Duration(rapid.IntRange(0, 200).Draw(t, "freeze"))*100*time.Millisecond
				}
				s.add(in.zone)
				s.publish()
			case 2:
				pick("killed").dead = true
			case 3:
				s.add(rapid.SampledFrom(simZones).Draw(t, "zone"))
				s.publish()
			case 4:
				cutPairs[[2]*simInstance{pick("a"), pick("b")}] = true
			case 5:
				clear(cutPairs)
			case 6:
				z := rapid.SampledFrom(simZones).Draw(t, "zone")
				cutZones[z] = !cutZones[z]
			case 7:
				if in := pick("cut off"); !in.delisted {
					in.platformCut = !in.platformCut
				}
			case 8:
				if changed == 0 || s.now-changed > transition {
					// Windows that begin before the end of the previous transition have been checked already.
					for name, admitted := range s.admitted {
						i, _ := slices.BinarySearch(admitted, changed+transition)
						if changed > 0 {
							s.admitted[name] = admitted[i:]
						}
					}
					oldRate, oldBurst, changed = rate, burst, s.now
					rate *= rapid.SampledFrom([]float64{0.3, 1, 2}).Draw(t, "rate factor")
					burst = max(minBurst, burst*rapid.SampledFrom([]float64{0.3, 1, 2}).Draw(t, "burst factor"))
					a := rapid.Float64Range(0, 0.8).Draw(t, "fraction")
					for _, in := range s.instances {
						in.frozenUntil = min(in.frozenUntil, s.now)
					}
					s.publishDocument(simDocument(rate, burst, map[string]float64{"a": a, "b": 0.9 - a, "c": 0.1}))
				}
			case 9:
				in := pick("leaving")
				if in.running() {
					in.step(LeaveMembership{Reply: make(chan []sibling.HandOver, 1)})
				}
			default:
				clear(load)
				load[pick("loaded")] = rate * rapid.SampledFrom([]float64{0.5, 1.5}).Draw(t, "demand")
				load[pick("loaded")] = rate
			}
			end := s.now + time.Duration(rapid.IntRange(1, 60).Draw(t, "duration"))*100*time.Millisecond
			for s.now < end {
				s.advance(10 * time.Millisecond)
				for _, in := range s.instances {
					for n := load[in]*0.01 + s.rng.Float64(); n >= 1; n-- {
						in.request("host")
					}
					if s.rng.IntN(20) == 0 {
						in.request("host")
						in.request("guest")
					}
				}
			}
			for organisation, part := range map[string][2]float64{"host": {1, 1}, "guest": {1.0 / 3, 0.5}} {
				admitted := s.admitted[organisation]
				during := excess(admitted, max(rate, oldRate)*part[0], max(burst, oldBurst)*part[1], 0, changed+transition)
				after := excess(admitted, rate*part[0], burst*part[1], changed+transition, s.now+1)
				before := 0.0
				if changed == 0 {
					before = excess(admitted, rate*part[0], burst*part[1], 0, s.now+1)
				}
				if worst := max(during, after, before); worst > 1e-6 {
					t.Fatalf("%s: a window exceeds rate %v x w + burst %v by %v requests at %v", organisation, rate, burst, worst, s.now)
				}
			}
		}
	})
}
