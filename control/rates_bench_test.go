package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
)

// BenchmarkRefusalsDuringFailure measures the wrongful refusals when one of 8 instances gets 90% of the rate for 10 s,
// on the virtual clock, while another instance is dead or another zone is cut off.
func BenchmarkRefusalsDuringFailure(b *testing.B) {
	for _, failure := range []string{"none", "instance dead", "zone cut off"} {
		for _, burst := range []float64{1000, 2000} {
			for _, static := range []bool{true, false} {
				b.Run(fmt.Sprintf("%s/burst=%v/static=%v", failure, burst, static), func(b *testing.B) {
					for range b.N {
						s := newFleetOfEight(static, 1, 1000, burst)
						s.offer(s.instances[0], 900, 3*time.Second)
						switch failure {
						case "instance dead":
							s.instances[1].dead = true
						case "zone cut off":
							s.cut = func(x, y *simInstance) bool { return x.zone != y.zone && (x.zone == "c" || y.zone == "c") }
						}
						b.ReportMetric(100*s.offer(s.instances[0], 900, 10*time.Second), "%refused")
					}
				})
			}
		}
	}
}

// BenchmarkFleetMessages counts the messages that each instance sends, replies included, without traffic and with all
// traffic of one organisation at one instance.
func BenchmarkFleetMessages(b *testing.B) {
	for _, n := range []int{9, 48, 171} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for range b.N {
				s := newSim(1)
				s.publishDocument(simDocument(1000, 1000, equalFractions()))
				for i := range n {
					s.add(simZones[i%3])
				}
				s.publish()
				s.advance(10 * time.Second)
				sent := s.messages
				s.advance(5 * time.Second)
				b.ReportMetric(float64(s.messages-sent)/5/float64(n), "idle-messages/s/instance")
				pulls := s.pulls
				s.offer(s.instances[0], 900, 5*time.Second)
				b.ReportMetric(float64(s.pulls-pulls)/5, "pulls/s-at-busy-instance")
			}
		})
	}
}

// BenchmarkStep measures one tick of the control goroutine, of which there are 50 a second, with traffic of a tenth of
// the organisations.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			s := newSim(1)
			d := simDocument(1000, 1000, equalFractions())
			for i := range n {
				d.Organisations = append(d.Organisations, document.Organisation{Name: fmt.Sprintf("o-%d", i), Rate: 100, Burst: 100, Weight: 1})
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s.publishDocument(d)
			in := s.add("a")
			s.publish()
			s.advance(8 * time.Second)
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := in.clock()
			pools := in.state.Snapshot().TokenPools
			b.ResetTimer()
			for range b.N {
				for i := range n / 10 {
					pools[d.Organisations[i].Name].Take(in.clock)
				}
				now = now.Add(refillInterval)
				in.state.Step(Tick{}, now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/organisation")
		})
	}
}
