package main

import (
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"sync"
	"testing"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/routing"
	"nettlefold/internal/settings"
)

// A version is put in force whole or not at all, and several at a time leave one of them in force, everywhere.
func TestVersionsInForce(t *testing.T) {
	c, err := configured("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	router, err := routing.New(c.Mixer, c.TariffRows, c.Limits.MaxOpenRequests, c.Seed, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	sites, err := newSites(c, &settings.Fleet{Sites: []string{"here", "there", "yonder"}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	router.Listed(c.KnownMembers.Entries(), true)
	v, in := newVersions(c, router, sites), 0
	full := func() bool { // of lookups that take two places, and are never answered
		_, err := router.Take(routing.Lookup{ID: fmt.Sprint(in), Tariff: "all-parts", Expires: time.Now().Add(time.Minute),
			Parts: []routing.Part{{Slice: in % 2, Weight: 1}}})
		if err == nil {
			in++
		}
		return errors.Is(err, routing.ErrFull)
	}
	if full() {
		t.Error("the first lookup is not let in")
	}
	fault := (*charter.SettingError)(nil)
	err = v.apply([]byte(`{"PolicyLimits":{"MaxOpen":1},"Profiles":{"0":{"AimMs":-1}}}`))
	if !errors.As(err, &fault) || fault.Key != "Profiles.0.AimMs" || fault.Value != "-1" || !reflect.DeepEqual(v.config(), c) || full() {
		t.Errorf("a version that is rejected: %v, in force %+v", err, v.config())
	}
	if err := v.apply([]byte(`{"PolicyLimits":{"MaxOpen":1},"Profiles":{"0":{"AimMs":300}}}`)); err != nil || !full() {
		t.Errorf("one place is allowed, and one more lookup is let in: %v", err)
	}
	if c := v.config(); c.Limits.MaxOpenRequests != 1 || c.Mixer.Tariffs[0].Expected != 300e6 || siteTerms(c).Expected != 500e6 {
		t.Errorf("in force: %+v", c)
	}
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			if err := v.apply(fmt.Appendf(nil, `{"PolicyLimits":{"MaxOpen":%d}}`, 5+i)); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	for !full() && in < 100 {
	}
	if most := v.config().Limits.MaxOpenRequests; in != (most+1)/2 {
		t.Errorf("%d places in force, and %d lookups of two each were let in", most, in)
	}
}
