package config

import (
	"cmp"
	"slices"
	"strings"
)

// Table answers what a request needs of a configuration. It is not changed after it was compiled.
type Table struct {
	Version        int64
	Limits         Limits
	services       map[string]*Service
	routesByHost   map[string][]*Route // by host, longest prefix first
	tenantsByKey   map[string]*Tenant  // by key
	requiresAPIKey bool                // whether requests need a key
}

// Compile makes the table of a checked document.
func Compile(doc *Document) *Table {
	t := &Table{
		Version:        doc.Version,
		Limits:         doc.Limits,
		services:       make(map[string]*Service, len(doc.Services)),
		routesByHost:   map[string][]*Route{},
		tenantsByKey:   map[string]*Tenant{},
		requiresAPIKey: len(doc.Tenants) > 0,
	}
	for i := range doc.Services {
		t.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range doc.Tenants {
		for _, key := range doc.Tenants[i].APIKeys {
			t.tenantsByKey[key] = &doc.Tenants[i]
		}
	}
	return t
}

// Route finds the route of a host (a port is ignored) and path, nil where there is none.
func (t *Table) Route(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Tenant finds the owner of a key, nil where nobody owns it.
func (t *Table) Tenant(key string) *Tenant { return t.tenantsByKey[key] }

// Keyed tells whether routes that are not public need a key.
func (t *Table) RequiresAPIKey() bool { return t.requiresAPIKey }

// Service finds a service by its name, nil where there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services calls yield with each service.
func (t *Table) Services(yield func(*Service) bool) {
	for _, s := range t.services {
		if !yield(s) {
			return
		}
	}
}

// Target draws the service of one request; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	sum := 0.0
	for _, w := range r.Split {
		sum += w.Weight
	}
	at := draw * sum
	last := ""
	for _, w := range r.Split {
		if w.Weight <= 0 {
			continue
		}
		last = w.Service
		if at < w.Weight {
			return w.Service
		}
		at -= w.Weight
	}
	return last
}
