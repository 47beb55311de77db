package several

import (
	"net/http"
	"sync"
	"time"

	"nettlefold/example/toy"
)

// Agent is what tells one mixer the list. It stands on the mixer's own machine: no wire lies between them, and what it does
// not tell it keeps to itself.
type Agent struct {
	w    *World
	list *toy.List

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	spoke   time.Time            // when it was silent last
	held    []toy.Message        // not told yet, since it is stale
	told    map[string]time.Time // when it had a searcher's draining or start to tell, by name
}

// Mode is how an agent tells.
type Mode struct {
	Silent bool          // says nothing to anyone, not even the line of each beat
	Stale  bool          // says what it knew before
	Late   time.Duration // says it by so much later
}

// Set sets how it tells from now on. What a stale one has not said it says when it is stale no more.
func (a *Agent) Set(m Mode) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mode.Silent {
		a.spoke = time.Now()
	}
	a.mode = m
	close(a.changed)
	a.changed = make(chan struct{})
	if m.Stale {
		return
	}
	for _, h := range a.held {
		a.tell(h)
	}
	a.held = nil
}

// hear has the agent hear of a change.
func (a *Agent) hear(m toy.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch late := a.mode.Late; {
	case a.mode.Stale:
		a.held = append(a.held, m)
	case late > 0:
		time.AfterFunc(late, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.tell(m)
		})
	default:
		a.tell(m)
	}
}

// tell tells a change. The lock is held.
func (a *Agent) tell(m toy.Message) {
	for _, e := range m.Endpoints {
		a.told[e.Name] = time.Now()
	}
	a.list.Say(m)
}

// toldOf gives when it told of a searcher last, or could, and whether it tells at all.
func (a *Agent) toldOf(searcher string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.told[searcher]
	if ok && at.Before(a.spoke) {
		at = a.spoke
	}
	return at, ok && !a.mode.Silent
}

// ServeHTTP serves the list.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mute := &muted{w, a, r}
	mute.wait()
	a.list.ServeHTTP(mute, r)
}

// muted keeps what is written for as long as the agent is silent.
type muted struct {
	http.ResponseWriter
	a *Agent
	r *http.Request
}

func (m *muted) wait() {
	for {
		m.a.mu.Lock()
		silent, changed := m.a.mode.Silent, m.a.changed
		m.a.mu.Unlock()
		if !silent {
			return
		}
		select {
		case <-changed:
		case <-m.r.Context().Done():
			return
		}
	}
}

// Write writes once the agent speaks.
func (m *muted) Write(p []byte) (int, error) {
	m.wait()
	if err := m.r.Context().Err(); err != nil {
		return 0, err
	}
	return m.ResponseWriter.Write(p)
}

// Unwrap lets a watch flush.
func (m *muted) Unwrap() http.ResponseWriter { return m.ResponseWriter }
