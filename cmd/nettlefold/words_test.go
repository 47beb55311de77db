package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"nettlefold/internal/fleet/desk"
	"nettlefold/internal/fleet/relay"
	"nettlefold/internal/routing"
	"nettlefold/internal/settings"
	"nettlefold/internal/sharing"
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

// TestHearsWords has the program follow a relay, both with words: it tells its own sheet, and hears what three others say.
func TestHearsWords(t *testing.T) {
	dir := t.TempDir()
	own := filepath.Join(dir, "own.xml")
	t.Setenv("NETTLEFOLD_SETTINGS", own)
	admin, at, asked := loopback(206, 1, 19090), loopback(206, 2, 17101), loopback(206, 2, 19090)
	doc := `<nettlefold xmlns="urn:nettlefold:settings:1">
		<listeners><admin address="` + admin + `"/></listeners>
		<control region="east" window="1s" words="yes"><relay name="r-1" region="east" address="` + at + `"/></control></nettlefold>`
	if err := os.WriteFile(own, []byte(doc), 0o600); err != nil {
		t.Fatal(err)
	}
	r := startRelay(t, own, "r-1", asked)
	w := prepare(t).start()
	says := func(where, what string) func() bool {
		return func() bool { return strings.Contains(fetch("http://"+where), what) }
	}
	w.within(time.Minute, "its sheet is told", says(asked+"/control/status", `"Mixers":1`))
	for i := range 3 {
		name := fmt.Sprint("other-", i)
		resp, err := http.Get("http://" + at + "/control/rows?follow=1&as=mixer&name=" + name)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
		defer resp.Body.Close()
		raw, err := (&sharing.Sheet{Version: 1, Mixer: name, Zone: fmt.Sprint("z", i), Life: 1, Number: 1,
			Rows: []sharing.Row{{Searcher: "searcher-x", Started: 7, Suspect: 1}}}).Append()
		if err != nil {
			t.Fatal(err)
		}
		told, err := http.Post("http://"+at+"/control/words?name="+name, "", bytes.NewReader(desk.Said("words", raw)))
		if err != nil || told.StatusCode != http.StatusNoContent {
			t.Fatal(told, err)
		}
		told.Body.Close()
	}
	w.within(time.Minute, "it hears what they say", says(admin+"/control", `"words":{"words":1,`))
	if got := fetch("http://" + asked + "/metrics"); !strings.Contains(got, "nettlefold_relay_words 1\n") {
		t.Error("the relay's figures do not tell of a word")
	}
	r.leave()
	w.within(time.Minute, "it ends with the relay", says(admin+"/control", `"words":{"words":0,`))
	w.signal(syscall.SIGTERM)
	if code := w.exit(5 * time.Second); code != 0 {
		t.Errorf("exit %d", code)
	}
}
