package config

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
)

// Table indexes a configuration for the lookups that a request needs. It is immutable and safe for
// concurrent use.
type Table struct {
	Version        int64
	Digest         string // TextDigest of the configuration
	RouteCount     int
	Limits         Limits
	services       map[string]*Service     // by name
	routesByHost   map[string][]tableRoute // by canonical host, longest path prefix first
	tenantsByKey   map[string]*Tenant
	tenants        tenantSharing
	requiresAPIKey bool
}

// tableRoute is a route with its canonical path prefix.
type tableRoute struct {
	prefix string
	route  *Route
}

// Compile returns the table of a valid document. The table refers to the document, which must not be
// changed afterwards.
func Compile(doc *Document) *Table {
	t := &Table{
		Version:        doc.Version,
		Digest:         doc.Digest,
		RouteCount:     len(doc.Routes),
		Limits:         doc.Limits,
		services:       make(map[string]*Service, len(doc.Services)),
		routesByHost:   map[string][]tableRoute{},
		tenantsByKey:   map[string]*Tenant{},
		tenants:        newTenantSharing(doc),
		requiresAPIKey: len(doc.Tenants) > 0,
	}
	for i := range doc.Services {
		t.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		host := canonicalHost(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], tableRoute{canonicalPath(r.PathPrefix), r})
	}
	for _, routes := range t.routesByHost {
		// Stable: of two equal routes, which a build with another check may have accepted, all mixers use the first.
		slices.SortStableFunc(routes, func(a, b tableRoute) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	for i := range doc.Tenants {
		for _, key := range doc.Tenants[i].APIKeys {
			t.tenantsByKey[key] = &doc.Tenants[i]
		}
	}
	return t
}

// Route returns the route with the longest path prefix that matches a host and a path as it stands in a request
// line, or nil if there is none. It ignores the case and the port of the host and how the path is escaped, except
// for escaped slashes.
func (t *Table) Route(host, path string) *Route {
	path = canonicalPath(path)
	for _, r := range t.routesByHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r.route
		}
	}
	return nil
}

// RouteOf returns the route of a request, or nil if there is none.
func (t *Table) RouteOf(r *http.Request) *Route { return t.Route(r.Host, r.URL.EscapedPath()) }

// Tenant returns the tenant that owns an API key, or nil if there is none.
func (t *Table) Tenant(key string) *Tenant { return t.tenantsByKey[key] }

// RequiresAPIKey reports whether routes that aren't public require an API key.
func (t *Table) RequiresAPIKey() bool { return t.requiresAPIKey }

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services is an iterator over all services, in no particular order.
func (t *Table) Services(yield func(*Service) bool) {
	for _, s := range t.services {
		if !yield(s) {
			return
		}
	}
}

// PickService returns the service for one request. If the route has a traffic split, services are
// picked in proportion to their weights by draw, a random number that is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	sum, largest := 0.0, 0.0
	for _, w := range r.Split {
		largest = max(largest, w.Weight)
	}
	for _, w := range r.Split {
		sum += w.Weight / largest // so that no sum of weights is too large for a float
	}
	remaining := draw * sum
	last := "" // picked if rounding errors leave a remainder after all weights
	for _, w := range r.Split {
		if w.Weight <= 0 {
			continue
		}
		last = w.Service
		if remaining < w.Weight/largest {
			return w.Service
		}
		remaining -= w.Weight / largest
	}
	return last
}
