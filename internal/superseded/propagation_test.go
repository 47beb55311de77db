package superseded

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The tests model how announced versions reach the processes that use them: two controllers, an agent that
// calls either of them, and a proxy that calls the agent. A call is made, answered and delivered in separate
// steps, one second apart; any process may restart in between, and no two clocks agree. Neither the agent
// nor the proxy may ever take a version to be younger than it is.

// process is the state of a controller, an agent or a proxy for one model, by its own clock.
type process struct {
	clockOffset time.Duration
	newest      int64
	history     History
	lastContact time.Duration // when it last knew the committed state
	hasState    bool
}

// call is a call in progress.
type call struct {
	requestedAt time.Duration // by the caller's clock
	startedAt   time.Duration // by the callee's clock
	callee      *process
	answered    bool
	duration    time.Duration // until the reply was written, by the callee's clock
	newest      int64
	hasState    bool
	current     bool
	ages        []Age
}

type model struct {
	now         time.Duration
	announced   History // when each version was announced
	controllers [2]*process
	agent       *process
	proxy       *process
	session     *call
	feed        *call
}

func newModel() *model {
	m := &model{announced: History{{1, -1}}}
	for i := range m.controllers {
		m.controllers[i] = &process{
			clockOffset: time.Duration(i+1) * time.Hour, newest: 1,
			history: History{}.With(1, DistantPast), lastContact: DistantPast, hasState: true,
		}
	}
	m.agent = &process{clockOffset: -3 * time.Hour, lastContact: DistantPast}
	m.proxy = &process{clockOffset: 7 * time.Hour, lastContact: DistantPast}
	return m
}

// step applies one event. An event that is impossible in the current state changes nothing.
func (m *model) step(event string) {
	m.now += time.Second
	switch event {
	case "announce":
		m.announced = append(m.announced, Announcement{m.announced.Newest() + 1, m.now})
	case "tick 0", "tick 1": // the controller learns the committed state
		c := m.controllers[event[5]-'0']
		c.history = c.history.With(m.announced.Newest(), c.lastContact)
		c.newest, c.lastContact = m.announced.Newest(), m.now+c.clockOffset
	case "controller restart":
		c := m.controllers[0]
		c.history, c.lastContact = History{}.With(c.newest, DistantPast), DistantPast
	case "agent restart":
		m.agent.history, m.agent.hasState, m.agent.newest, m.agent.lastContact, m.session, m.feed = nil, false, 0, DistantPast, nil, nil
	case "proxy restart":
		m.proxy.history, m.proxy.hasState, m.proxy.newest, m.feed = nil, false, 0, nil
	case "call 0", "call 1":
		c := m.controllers[event[5]-'0']
		m.session = &call{requestedAt: m.now + m.agent.clockOffset, startedAt: m.now + c.clockOffset, callee: c}
	case "feed":
		m.feed = &call{requestedAt: m.now + m.proxy.clockOffset, startedAt: m.now + m.agent.clockOffset, callee: m.agent}
	case "call answered":
		m.answer(m.session, m.announced.Newest())
	case "feed answered":
		m.answer(m.feed, 0)
	case "call delivered":
		m.deliverCall()
	case "feed delivered":
		m.deliverFeed()
	}
}

// answer has the callee of a call write its reply. The reply is current if the callee has the newest
// version and has known the committed state since it started.
func (m *model) answer(c *call, newest int64) {
	if c == nil || c.answered {
		return
	}
	callee, now := c.callee, m.now+c.callee.clockOffset
	c.answered, c.duration, c.newest, c.hasState, c.ages = true, now-c.startedAt, callee.newest, callee.hasState, callee.history.Ages(now)
	c.current = callee.newest == newest && callee.lastContact != DistantPast
}

// deliverCall applies a controller's reply as the agent does.
func (m *model) deliverCall() {
	c, agent := m.session, m.agent
	if c == nil || !c.answered {
		return
	}
	m.session = nil
	if (c.current || agent.hasState) && c.newest >= agent.newest {
		history := agent.history
		if agent.hasState {
			history = history.With(c.newest, agent.lastContact)
		}
		agent.history, agent.newest, agent.hasState = history.MergeAges(c.newest, c.requestedAt+c.duration, c.ages), c.newest, true
	}
	if c.current {
		agent.lastContact = c.requestedAt
	}
}

// deliverFeed applies an agent's reply as the proxy does.
func (m *model) deliverFeed() {
	c, proxy := m.feed, m.proxy
	if c == nil || !c.answered {
		return
	}
	m.feed = nil
	if c.hasState && c.newest >= proxy.newest {
		proxy.history, proxy.newest, proxy.hasState = proxy.history.MergeAges(c.newest, c.requestedAt+c.duration, c.ages), c.newest, true
	}
}

// check compares the histories of the agent and the proxy with the announcements.
func (m *model) check() error {
	for _, p := range []*process{m.agent, m.proxy} {
		for version := int64(1); version < p.newest; version++ {
			announced, _ := m.announced.Since(version)
			since, superseded := p.history.Since(version)
			if !superseded {
				return fmt.Errorf("version %d isn't superseded, but the newest is %d", version, p.newest)
			}
			if since > announced+p.clockOffset {
				return fmt.Errorf("version %d: superseded %v, want no later than %v: %v late",
					version, since, announced+p.clockOffset, since-announced-p.clockOffset)
			}
		}
	}
	return nil
}

// play applies events to a new model and checks it after each of them.
func play(t *testing.T, events []string) *model {
	m := newModel()
	for i, event := range events {
		m.step(event)
		require.NoError(t, m.check(), "after events %v", events[:i+1])
	}
	return m
}

// TestThreeVersionsInAllOrders plays all interleavings of two announcements, the calls of an agent and a
// proxy, and one restart of any of the processes.
func TestThreeVersionsInAllOrders(t *testing.T) {
	calls := []string{"tick 0", "call 0", "call answered", "call delivered", "feed", "feed answered", "feed delivered"}
	announcements := []string{"announce", "announce"}
	for _, restart := range []string{"controller restart", "agent restart", "proxy restart"} {
		// The calls are made three times in order, with the announcements and the restart at any place among them.
		base := append(append(append([]string{}, calls...), calls...), calls...)
		extra := append(append([]string{}, announcements...), restart)
		placements(len(base)+1, func(places [3]int) {
			var events []string
			for i := 0; i <= len(base); i++ {
				for j, place := range places {
					if place == i {
						events = append(events, extra[j])
					}
				}
				if i < len(base) {
					events = append(events, base[i])
				}
			}
			m := play(t, events)
			if restart == "proxy restart" && places[0] >= len(calls) && m.proxy.hasState { // a controller had the committed state before the announcements
				since, superseded := m.proxy.history.Since(1)
				require.False(t, superseded && since == DistantPast, "the agent still has the bound: %v", events)
			}
		})
	}
}

// placements calls f with all places of two announcements and a restart among n.
func placements(n int, f func(places [3]int)) {
	for i := range n {
		for j := i; j < n; j++ { // the second version is announced after the first
			for k := range n {
				f([3]int{i, j, k})
			}
		}
	}
}

// TestManyVersionsInRandomOrder plays long random runs with two controllers, either of which may be behind
// the committed state.
func TestManyVersionsInRandomOrder(t *testing.T) {
	events := []string{
		"announce", "tick 0", "tick 0", "tick 1", "controller restart", "agent restart", "proxy restart", "call 0", "call 1",
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

// TestModelDetectsSingleTime injects an earlier fault: only the time of the newest version was kept, in place
// of those of the versions before it.
func TestModelDetectsSingleTime(t *testing.T) {
	m := newModel()
	for _, event := range []string{"tick 0", "announce", "tick 0", "call 0", "call answered", "call delivered", "announce", "tick 0"} {
		m.step(event)
	}
	c := m.controllers[0]
	c.history = c.history[len(c.history)-1:]
	m.agent.history = nil
	for _, event := range []string{"call 0", "call answered", "call delivered"} {
		m.step(event)
	}
	require.ErrorContains(t, m.check(), "late")
}
