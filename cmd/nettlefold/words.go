package main

import (
	"sync"

	"nettlefold/internal/fleet/relay"
	"nettlefold/internal/fleet/words"
	"nettlefold/internal/routing"
	"nettlefold/internal/settings"
	"nettlefold/internal/store"
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

// ways gives the router to the store's keeper and to the relays' words, each by a way of its own where there are both.
func ways(own settings.Settings, router *routing.Router) (byStore store.Router, byRelays relay.Router) {
	if own.Store == nil || own.Control == nil || !own.Control.Words {
		return router, router
	}
	t := &told{Router: router}
	hand := func(which *[]routing.Word) func([]routing.Word) {
		return func(all []routing.Word) {
			t.mu.Lock()
			defer t.mu.Unlock()
			*which = all
			t.Router.Told(words.Join(t.Now(), t.store, t.relays))
		}
	}
	return source{router, hand(&t.store)}, source{router, hand(&t.relays)}
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
