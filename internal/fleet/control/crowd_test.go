package control

import (
	"fmt"
	"slices"
	"testing"
)

// TestSpread shares 6,300 mixers among seven seats: by how much the worst exceeds its share, and who moves when a seat goes.
func TestSpread(t *testing.T) {
	const mixers = 6300
	for name, regions := range map[string][]string{
		"one region":   {"a", "a", "a", "a", "a", "a", "a"},
		"four regions": {"a", "a", "b", "b", "c", "c", "d"},
	} {
		var seats []Seat
		in := map[string]int{}
		for i, r := range regions {
			seats = append(seats, Seat{Name: fmt.Sprint("r-", i+1), Region: r})
			in[r]++
		}
		first, shares, all := make([]string, mixers), map[string]int{}, map[string]int{}
		region := func(i int) string { return regions[i%len(regions)] }
		for i := range mixers {
			s := Order(fmt.Sprintf("mixer-%d", i), region(i), seats)[0]
			if s.Region != region(i) {
				t.Fatalf("%s: a mixer of %s has its first seat in %s", name, region(i), s.Region)
			}
			first[i] = s.Name
			shares[s.Name]++
			all[region(i)]++
		}
		worst := 0.0
		for _, s := range seats {
			worst = max(worst, float64(shares[s.Name])*float64(in[s.Region])/float64(all[s.Region]))
		}
		moved := 0
		for i := range mixers {
			s := Order(fmt.Sprintf("mixer-%d", i), region(i), seats[1:])[0].Name
			if s != first[i] {
				if moved++; first[i] != seats[0].Name {
					t.Fatalf("%s: a mixer of %s moves to %s when %s goes", name, first[i], s, seats[0].Name)
				}
			}
		}
		t.Logf("%s: worst share %.3f of the mean, %d move when a seat of %d goes: %v", name, worst, moved, shares[seats[0].Name], shares)
		if worst > 1.1 || moved != shares[seats[0].Name] {
			t.Errorf("%s: worst share %.3f, %d move", name, worst, moved)
		}
	}
}

// crowd is 6,300 mixers' followers and seven relays, without what they tell.
type crowd struct {
	t         *testing.T
	now       int64
	followers []*Follower
	relays    []*Relay
	dead      map[string]bool
	on        []*Session
	at        []string // relay
	arrivals  map[string]map[int64]int
	refused   int
}

func newCrowd(t *testing.T, perS int) *crowd {
	c := &crowd{t: t, dead: map[string]bool{}, arrivals: map[string]map[int64]int{}}
	var seats []Seat
	for i := range 7 {
		seats = append(seats, Seat{Name: fmt.Sprint("r-", i+1), Region: "east"})
	}
	for _, s := range seats {
		r, err := NewRelay(0, RelayOptions{Name: s.Name, Seats: seats, Life: "1", Sessions: 1200, NewPerS: perS})
		if err != nil {
			t.Fatal(err)
		}
		c.relays = append(c.relays, r)
	}
	for i := range 6300 {
		f, err := NewFollower(0, FollowerOptions{Self: Self{Name: fmt.Sprint("mixer-", i), Region: "east"}, Seats: seats,
			Window: 10 * second, Seed: uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		c.followers = append(c.followers, f)
	}
	c.on, c.at = make([]*Session, len(c.followers)), make([]string, len(c.followers))
	return c
}

func (c *crowd) relay(name string) *Relay {
	return c.relays[slices.IndexFunc(c.relays, func(r *Relay) bool { return r.o.Name == name })]
}

// run has time pass. It gives how many have a session at the end and when the last change was.
func (c *crowd) run(until int64) (on int, last int64) {
	for ; c.now < until; c.now += second / 10 {
		for i, f := range c.followers {
			if f.open >= 0 {
				f.Beat(c.now)
			}
			act, _ := f.Next(c.now)
			if act.Dial == nil {
				continue
			}
			name := act.Dial.Name
			if c.dead[name] {
				f.Failed(c.now, 0)
				continue
			}
			s, err := c.relay(name).Join(c.now, f.o.Self.Name, true, act.Since, act.Life)
			if err != nil {
				c.refused++
				f.Failed(c.now, second)
				continue
			}
			if c.on[i] != nil && !c.dead[c.at[i]] {
				c.relay(c.at[i]).Leave(c.now, c.on[i], true)
			}
			c.on[i], c.at[i] = s, name
			if c.arrivals[name] == nil {
				c.arrivals[name] = map[int64]int{}
			}
			c.arrivals[name][c.now/second]++
			last = c.now
			f.Opened(c.now, "1")
			if _, _, err := f.Take(c.now, Piece{Snapshot: true, Index: 1}); err != nil {
				c.t.Fatal(err)
			}
		}
	}
	for _, f := range c.followers {
		on += truth(f.open >= 0)
	}
	return on, last
}

func (c *crowd) worst() (worst int) {
	for _, perS := range c.arrivals {
		for _, n := range perS {
			worst = max(worst, n)
		}
	}
	c.arrivals = map[string]map[int64]int{}
	return worst
}

// TestNoRush starts all mixers at once, then has a relay die and come back. Nowhere do more come in a second than twice their share
// of the window, and those who had the relay have it again.
func TestNoRush(t *testing.T) {
	const perS = 180 // twice 6,300 in 10 s over 7
	c := newCrowd(t, perS)
	on, last := c.run(20 * second)
	worst := c.worst()
	t.Logf("start: %d on in %.1f s, worst second of a relay %d, %d refused", on, float64(last)/1e9, worst, c.refused)
	if on != 6300 || worst > perS || last > 12*second {
		t.Errorf("start: %d on in %d ns, worst second %d", on, last, worst)
	}
	before := slices.Clone(c.at)
	c.dead["r-1"] = true
	lost, from := 0, c.now
	for i, f := range c.followers {
		if c.at[i] == "r-1" {
			lost++
			f.Lost(c.now)
		}
	}
	on, last = c.run(c.now + 20*second)
	worst = c.worst()
	t.Logf("loss of one: %d lost, %d on after %.1f s, worst second of a relay %d, %d refused", lost, on, float64(last-from)/1e9, worst,
		c.refused)
	if on != 6300 || worst > perS/4 || last-from > 12*second {
		t.Errorf("loss: %d on in %d ns, worst second %d", on, last-from, worst)
	}
	for i := range c.at {
		if before[i] != "r-1" && c.at[i] != before[i] {
			t.Fatalf("%s leaves %s for %s", c.followers[i].o.Self.Name, before[i], c.at[i])
		}
	}
	c.run(c.now + 100*second) // a while without it: those who would be back fail
	c.worst()
	c.dead["r-1"] = false
	fresh, err := NewRelay(c.now, RelayOptions{Name: "r-1", Seats: c.relays[0].o.Seats, Life: "2", Sessions: 1200, NewPerS: perS})
	if err != nil {
		t.Fatal(err)
	}
	c.relays[0], from = fresh, c.now
	_, last = c.run(c.now + 190*second)
	worst = c.worst()
	t.Logf("return: the last is back after %.1f s, worst second %d", float64(last-from)/1e9, worst)
	if !slices.Equal(before, c.at) || worst > perS/4 || last-from > 130*second {
		t.Errorf("return: after %d ns, worst second %d, the same again %v", last-from, worst, slices.Equal(before, c.at))
	}
}
