package relay

import (
	"testing"
	"time"
)

// TestSilentRelayIsLeftInTime adds up the waits on the way from a relay that falls silent, and still accepts, to the next one.
func TestSilentRelayIsLeftInTime(t *testing.T) {
	const window, pause = 2 * time.Second, 200 * time.Millisecond
	if most := usual.silence + window + max(usual.dial, usual.first) + pause; most > 5500*time.Millisecond {
		t.Errorf("%s, with 0.5 s for what is told then", most)
	}
}
