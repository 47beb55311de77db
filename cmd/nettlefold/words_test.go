package main

import (
	"runtime"
	"testing"

	"nettlefold/internal/fleet/relay"
	"nettlefold/internal/routing"
	"nettlefold/internal/settings"
)

// TestNoWordsNothingRuns has <control> without words, as it is by default: nobody tells or hears, and the store's keeper has the
// router itself.
func TestNoWordsNothingRuns(t *testing.T) {
	before := runtime.NumGoroutine()
	c := &relay.Client{}
	for _, s := range []*settings.Control{nil, {}} {
		if h := hearing(s, nil, c); h != nil || c.Words != nil || runtime.NumGoroutine() != before {
			t.Errorf("%v %v", h, c.Words)
		}
	}
	router := &routing.Router{}
	for _, own := range []settings.Settings{{}, {Store: &settings.Store{}}, {Store: &settings.Store{}, Control: &settings.Control{}},
		{Control: &settings.Control{Words: true}}} {
		byStore, byRelays := ways(own, router)
		if byStore != router || byRelays != router {
			t.Errorf("%+v: another router", own)
		}
	}
	byStore, byRelays := ways(settings.Settings{Store: &settings.Store{}, Control: &settings.Control{Words: true}}, router)
	if byStore == router || byRelays == router {
		t.Error("the store's words and the relays' go by one way")
	}
}
