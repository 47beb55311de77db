package control

import "testing"

// TestSilentRelayIsTriedLast has a mixer's relay fall silent: the next one is tried within the window, without a try of the silent
// one, which may accept and be silent again. Where there is no other the silent one is tried.
func TestSilentRelayIsTriedLast(t *testing.T) {
	const window = 2 * second
	for _, seats := range [][]Seat{{{Name: "a"}, {Name: "b"}, {Name: "c"}}, {{Name: "a"}}} {
		for seed := range uint64(200) {
			f, err := NewFollower(second, FollowerOptions{Self: Self{Name: "m"}, Seats: seats, Window: window, Seed: seed})
			if err != nil {
				t.Fatal(err)
			}
			now := second
			dial := func() string {
				for end := now + 2*window; now < end; {
					act, wait := f.Next(now)
					if act.Dial != nil {
						return act.Dial.Name
					}
					now += max(wait, 1)
				}
				t.Fatal("nobody is tried")
				return ""
			}
			first := dial()
			f.Opened(now, "1")
			now += 3 * second
			silent := now
			f.Silent(now)
			if next := dial(); len(seats) > 1 && next == first || now-silent > window {
				t.Fatalf("%d seats, seed %d: after %s %s is tried, %d ns after", len(seats), seed, first, next, now-silent)
			}
		}
	}
}
