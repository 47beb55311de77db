package settings

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Fleet says how to take part with other mixers, and of which sites the fleet is.
type Fleet struct {
	Listen    string
	Advertise string            // "": Listen
	Site      string            // "": the zone of the platform's configuration
	Sites     []string          // all of them
	Alone     bool              // fewer than three sites are meant
	Join      []string          // addresses
	Routes    map[string]string // by the name of a mixer: where it is reached
	Group     string
	KeyFile   string // "": plain
	Forget    time.Duration
	Members   int

	to, route string // of the route that is read
}

// fleetElement is the schema's element fleet. What one element cannot say by itself is in whole.
func fleetElement() *element {
	at := func(f func(*Fleet, string)) func(*Settings, string) {
		return func(s *Settings, v string) {
			if s.Fleet == nil {
				s.Fleet = &Fleet{Group: "nettlefold", Forget: time.Hour, Members: 1024}
			}
			f(s.Fleet, v)
		}
	}
	return &element{
		attributes: map[string]attribute{
			"listen":    need(address, at(func(f *Fleet, v string) { f.Listen = v })),
			"advertise": may(address, at(func(f *Fleet, v string) { f.Advertise = v })),
			"site":      may(name, at(func(f *Fleet, v string) { f.Site = v })),
			"group":     may(name, at(func(f *Fleet, v string) { f.Group = v })),
			"alone":     may("yes|no", at(func(f *Fleet, v string) { f.Alone = v == "yes" })),
			"key-file":  may(path, at(func(f *Fleet, v string) { f.KeyFile = v })),
			"forget": may("[5-9]s|[1-9][0-9]{1,4}s|[1-9][0-9]{0,3}[mh]", at(func(f *Fleet, v string) {
				f.Forget, _ = time.ParseDuration(v)
			})),
			"members": may("[2-9]|[1-9][0-9]{1,3}", at(func(f *Fleet, v string) { f.Members, _ = strconv.Atoi(v) })),
		},
		within: map[string]*element{
			"site": {many: true, attributes: map[string]attribute{
				"name": need(name, at(func(f *Fleet, v string) { f.Sites = append(f.Sites, v) }))}},
			"join": {many: true, attributes: map[string]attribute{
				"address": need(address, at(func(f *Fleet, v string) { f.Join = append(f.Join, v) }))}},
			"route": {many: true, attributes: map[string]attribute{
				"to":      need(name, at(func(f *Fleet, v string) { f.to = v })),
				"address": need(address, at(func(f *Fleet, v string) { f.route = v })),
			}, whole: func(s *Settings, _ int) error { return s.Fleet.led() }},
		},
		whole: func(s *Settings, line int) error {
			s.fleetAt = line
			return s.Fleet.sound()
		},
	}
}

// led keeps the route that has been read.
func (f *Fleet) led() error {
	if _, ok := f.Routes[f.to]; ok {
		return fmt.Errorf("to: %q stands twice", f.to)
	}
	if f.Routes == nil {
		f.Routes = map[string]string{}
	}
	f.Routes[f.to] = f.route
	f.to, f.route = "", ""
	return nil
}

// sound judges what the schema judges by its keys.
func (f *Fleet) sound() error {
	for i, s := range f.Sites {
		if slices.Contains(f.Sites[:i], s) {
			return fmt.Errorf("site: name: %q stands twice", s)
		}
	}
	for i, j := range f.Join {
		if slices.Contains(f.Join[:i], j) {
			return fmt.Errorf("join: address: %q stands twice", j)
		}
	}
	if f.Site != "" {
		return f.Has(f.Site)
	}
	return nil
}

// Has says what is wrong with a site that the fleet does not have.
func (f *Fleet) Has(site string) error {
	if !slices.Contains(f.Sites, site) {
		return fmt.Errorf("site: %q is none of the sites %q", site, f.Sites)
	}
	return nil
}

// quorum refuses a fleet whose sites can never say by a majority that one of them is lost: of two, the one left is half.
func (s *Settings) quorum() error {
	f := s.Fleet
	if f == nil || f.Alone || len(f.Sites) >= 3 {
		return nil
	}
	return &Fault{Line: s.fleetAt, Element: "nettlefold/fleet", What: fmt.Sprintf(
		"site: %q: no majority is left when one is lost, which takes three; alone=\"yes\" where that is meant", f.Sites)}
}
