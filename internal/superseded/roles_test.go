package superseded

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model of how knowledge of versions goes from the core to what decides: two controllers, an agent that calls either of them, and a
// proxy that calls the agent. A call is made, answered and delivered in steps of their own, a second apart; any role may start anew in
// between, and no role's clock agrees with another's. Nothing that the proxy believes may make a version younger than it is.

// teller is what a role has of one model, by its own clock.
type teller struct {
	clock   time.Duration // what its clock is ahead by
	newest  int64
	times   History
	inTouch time.Duration
	known   bool // it has a state at all
}

// call is one that is under way.
type call struct {
	asked    time.Duration // by the caller's clock
	began    time.Duration // by the callee's
	callee   *teller
	answered bool
	held     time.Duration
	newest   int64
	known    bool
	current  bool
	ages     []Age
}

type model struct {
	now         time.Duration
	named       History // the truth: when each version was taken
	controllers [2]*teller
	agent       *teller
	proxy       *teller
	session     *call
	feed        *call
}

func newModel() *model {
	m := &model{named: History{{1, -1}}}
	for i := range m.controllers {
		m.controllers[i] = &teller{clock: time.Duration(i+1) * time.Hour, newest: 1, times: History{}.With(1, DistantPast), inTouch: DistantPast, known: true}
	}
	m.agent = &teller{clock: -3 * time.Hour, inTouch: DistantPast}
	m.proxy = &teller{clock: 7 * time.Hour, inTouch: DistantPast}
	return m
}

// step plays one event, which may be impossible now and then changes nothing.
func (m *model) step(event string) {
	m.now += time.Second
	switch event {
	case "name":
		m.named = append(m.named, Announcement{m.named.Newest() + 1, m.now})
	case "tick 0", "tick 1": // a controller is in touch, and has the newest state
		c := m.controllers[event[5]-'0']
		c.times = c.times.With(m.named.Newest(), c.inTouch)
		c.newest, c.inTouch = m.named.Newest(), m.now+c.clock
	case "controller anew":
		c := m.controllers[0]
		c.times, c.inTouch = History{}.With(c.newest, DistantPast), DistantPast
	case "agent anew":
		m.agent.times, m.agent.known, m.agent.newest, m.agent.inTouch, m.session, m.feed = nil, false, 0, DistantPast, nil, nil
	case "proxy anew":
		m.proxy.times, m.proxy.known, m.proxy.newest, m.feed = nil, false, 0, nil
	case "call 0", "call 1":
		c := m.controllers[event[5]-'0']
		m.session = &call{asked: m.now + m.agent.clock, began: m.now + c.clock, callee: c}
	case "feed":
		m.feed = &call{asked: m.now + m.proxy.clock, began: m.now + m.agent.clock, callee: m.agent}
	case "call answered":
		m.answer(m.session, m.named.Newest())
	case "feed answered":
		m.answer(m.feed, 0)
	case "call delivered":
		m.deliverCall()
	case "feed delivered":
		m.deliverFeed()
	}
}

// answer has the callee write its reply. It is in touch if it has the newest state.
func (m *model) answer(c *call, newest int64) {
	if c == nil || c.answered {
		return
	}
	t, now := c.callee, m.now+c.callee.clock
	c.answered, c.held, c.newest, c.known, c.ages = true, now-c.began, t.newest, t.known, t.times.Ages(now)
	c.current = t.newest == newest && t.inTouch != DistantPast
}

// deliverCall does what an agent does with a controller's reply.
func (m *model) deliverCall() {
	c, a := m.session, m.agent
	if c == nil || !c.answered {
		return
	}
	m.session = nil
	if (c.current || a.known) && c.newest >= a.newest {
		known := a.times
		if a.known {
			known = known.With(c.newest, a.inTouch)
		}
		a.times, a.newest, a.known = known.MergeAges(c.newest, c.asked+c.held, c.ages), c.newest, true
	}
	if c.current {
		a.inTouch = c.asked
	}
}

// deliverFeed does what a proxy does with its agent's reply.
func (m *model) deliverFeed() {
	c, p := m.feed, m.proxy
	if c == nil || !c.answered {
		return
	}
	m.feed = nil
	if c.known && c.newest >= p.newest {
		p.times, p.newest, p.known = p.times.MergeAges(c.newest, c.asked+c.held, c.ages), c.newest, true
	}
}

// check holds what agent and proxy believe to the truth.
func (m *model) check() error {
	for _, t := range []*teller{m.agent, m.proxy} {
		for version := int64(1); version < t.newest; version++ {
			truth, _ := m.named.Since(version)
			since, superseded := t.times.Since(version)
			if !superseded {
				return fmt.Errorf("version %d of %d is not taken for superseded", version, t.newest)
			}
			if since > truth+t.clock {
				return fmt.Errorf("version %d is taken for superseded %v late", version, since-truth-t.clock)
			}
		}
	}
	return nil
}

// play plays events from the start.
func play(t *testing.T, events []string) *model {
	m := newModel()
	for i, event := range events {
		m.step(event)
		require.NoError(t, m.check(), "%v", events[:i+1])
	}
	return m
}

// TestEveryOrderOfThreeVersions plays all orders of two more versions, what a controller, an agent and a proxy do about them, and one of the
// roles that starts anew at any moment.
func TestEveryOrderOfThreeVersions(t *testing.T) {
	calls := []string{"tick 0", "call 0", "call answered", "call delivered", "feed", "feed answered", "feed delivered"}
	first := []string{"name", "name"}
	for _, anew := range []string{"controller anew", "agent anew", "proxy anew"} {
		// The calls come in their order three times over; versions and the new start fall anywhere among them.
		base := append(append(append([]string{}, calls...), calls...), calls...)
		extra := append(append([]string{}, first...), anew)
		placements(len(base)+1, func(at [3]int) {
			var events []string
			for i := 0; i <= len(base); i++ {
				for j, where := range at {
					if where == i {
						events = append(events, extra[j])
					}
				}
				if i < len(base) {
					events = append(events, base[i])
				}
			}
			m := play(t, events)
			if anew == "proxy anew" && at[0] >= len(calls) && m.proxy.known { // the core was in touch before anything was named
				since, superseded := m.proxy.times.Since(1)
				require.False(t, superseded && since == DistantPast, "its agent still knows since when: %v", events)
			}
		})
	}
}

// placements gives all places of three things among n.
func placements(n int, f func(at [3]int)) {
	for i := range n {
		for j := i; j < n; j++ { // the second version is named after the first
			for k := range n {
				f([3]int{i, j, k})
			}
		}
	}
}

// TestRandomOrdersOfManyVersions plays long random runs with two controllers, of which either may be out of touch.
func TestRandomOrdersOfManyVersions(t *testing.T) {
	events := []string{
		"name", "tick 0", "tick 0", "tick 1", "controller anew", "agent anew", "proxy anew", "call 0", "call 1",
		"call answered", "call answered", "call delivered", "call delivered", "feed", "feed answered", "feed delivered",
	}
	for seed := range uint64(4000) {
		random := rand.New(rand.NewPCG(seed, 2))
		var run []string
		for range 60 {
			run = append(run, events[random.IntN(len(events))])
		}
		play(t, run)
	}
}

// TestOneTimeForAllVersionsIsFound: the model finds the fault that was there, a version's time kept in place of those before it.
func TestOneTimeForAllVersionsIsFound(t *testing.T) {
	m := newModel()
	for _, event := range []string{"tick 0", "name", "tick 0", "call 0", "call answered", "call delivered", "name", "tick 0"} {
		m.step(event)
	}
	c := m.controllers[0]
	c.times = c.times[len(c.times)-1:]
	m.agent.times = nil
	for _, event := range []string{"call 0", "call answered", "call delivered"} {
		m.step(event)
	}
	require.ErrorContains(t, m.check(), "late")
}
