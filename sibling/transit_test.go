package sibling

import (
	"testing"
	"time"
)

// Guards against a request that a partition held up and that an owner starts seconds later with the whole time that its sender
// gave it, when the caller has long left; and against a machine that was suspended and whose requests count as held up for ever.
func TestHeldUpMessagesAreNoticed(t *testing.T) {
	const ms = time.Millisecond
	type message struct{ sent, arrived, want time.Duration }
	for name, messages := range map[string][]message{
		"ordinary":               {{0, 1000 * ms, 0}, {6000 * ms, 7003 * ms, 0}, {9000 * ms, 10_015 * ms, 0}},
		"held up by a cut":       {{0, 1000 * ms, 0}, {6000 * ms, 13_800 * ms, 6800 * ms}, {6600 * ms, 13_801 * ms, 6201 * ms}, {14_000 * ms, 15_001 * ms, 0}},
		"first one was slow":     {{0, 1900 * ms, 0}, {6000 * ms, 7000 * ms, 0}, {7000 * ms, 8900 * ms, 900 * ms}},
		"sender was suspended":   {{0, 1000 * ms, 0}, {1000 * ms, 5000 * ms, 3000 * ms}, {2000 * ms, 6002 * ms, 0}, {3000 * ms, 7001 * ms, 0}},
		"receiver was suspended": {{0, 9000 * ms, 0}, {9000 * ms, 15_000 * ms, 0}, {10_000 * ms, 16_001 * ms, 0}},
	} {
		transit := NewTransit()
		for i, m := range messages {
			if got := transit.Delay("a", m.sent, m.arrived); got != m.want {
				t.Errorf("%s: message %d counts as held up for %v, want %v", name, i, got, m.want)
			}
		}
		if got := transit.Delay("b", 0, time.Hour); got != 0 {
			t.Errorf("%s: the first message of another sender counts as held up for %v", name, got)
		}
	}
}
