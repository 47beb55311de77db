package main

import (
	"sync"

	"nettlefold/internal/fleet/relay"
	"nettlefold/internal/fleet/words"
	"nettlefold/internal/routing"
	"nettlefold/internal/settings"
)

// told joins what the shared store's keeper and the relays hand over, each in place of what it handed over before.
type told struct {
	*routing.Router
	mu            sync.Mutex // goes before the router's
	store, relays []routing.Word
}

// source is a router to one of the two.
type source struct {
	*routing.Router
	hand func([]routing.Word)
}

func (s source) Told(all []routing.Word) { s.hand(all) }

// sources are routers to the store's keeper and to the relays' words.
func (t *told) sources() (store, relays source) {
	hand := func(which *[]routing.Word) func([]routing.Word) {
		return func(all []routing.Word) {
			t.mu.Lock()
			defer t.mu.Unlock()
			*which = all
			t.Router.Told(words.Join(t.Now(), t.store, t.relays))
		}
	}
	return source{t.Router, hand(&t.store)}, source{t.Router, hand(&t.relays)}
}

// hearing makes what tells and hears words through the relays, nil where that is not set: then nothing of it runs.
func hearing(s *settings.Control, router relay.Router, c *relay.Client) *relay.Hearing {
	if s == nil || !s.Words {
		return nil
	}
	return relay.NewHearing(router, c)
}

// standing is how the mixer stands with the control tier, for the admin listener.
func standing(c *relay.Client, h *relay.Hearing) any {
	all := struct {
		relay.State
		Words *relay.HearingState `json:"words,omitempty"`
	}{State: c.State()}
	if h != nil {
		s := h.State()
		all.Words = &s
	}
	return all
}
