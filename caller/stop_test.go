package caller

import (
	"testing"
	"time"
)

// Guards against a planned stop that accepts a request which it cannot answer any more, and against one that refuses
// requests while the load balancer still sends callers.
func TestStopAcceptsWhatItCanAnswer(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	stop := Stop{NoticeEnds: at(2.5), Ends: at(5.3)}
	for _, c := range []struct {
		name          string
		now, deadline float64
		want          bool
	}{
		{"short, during the notice", 0, 0.8, true},
		{"longer than the stop, during the notice", 2.4, 30, true},
		{"at the end of the notice, done in time", 2.5, 5.3, true},
		{"at the end of the notice, too long", 2.5, 5.301, false},
		{"late and short", 5.2, 5.25, true},
		{"late and long", 5.2, 6, false},
		{"at the end", 5.3, 5.3, false},
		{"after the end", 5.5, 5.6, false},
	} {
		if got := stop.Accepts(at(c.deadline), at(c.now)); got != c.want {
			t.Errorf("%s: accepted %v, want %v", c.name, got, c.want)
		}
	}
}
