package fleetdemo

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// plainPlaces is how many of places, the first ones, builds from before canonical comparison serve too.
const plainPlaces = 4

// place is a host and path prefix that a route may have, and the request that is sent to it. Canonical forms are
// written down here by hand, so that the play does not depend on the program's own comparison.
type place struct {
	Host, Prefix          string // as the configuration has them
	RequestHost, Path     string // as a client sends them
	CanonicalHost, Target string // what is compared
	CanonicalPrefix       string
}

// places are all hosts and prefixes of a play. Some lie below others.
var places = []place{
	{"plain.example", "/a/", "plain.example", "/a/x", "plain.example", "/a/x", "/a/"},
	{"plain.example", "/a/b/", "plain.example", "/a/b/x", "plain.example", "/a/b/x", "/a/b/"},
	{"plain.example", "/a/b/c/", "plain.example:18782", "/a/b/c/x", "plain.example", "/a/b/c/x", "/a/b/c/"},
	{"Capital.Example", "/a/", "capital.example", "/a/x", "capital.example", "/a/x", "/a/"},
	{"port.example:8443", "/p/", "port.example:8443", "/p/x", "port.example", "/p/x", "/p/"},
	{"[2001:db8::1]", "/v6/", "[2001:DB8::1]:80", "/v6/x", "[2001:db8::1]", "/v6/x", "/v6/"},
	{"[2001:db8::2]", "/v6/", "[2001:db8::2]", "/v6/x", "[2001:db8::2]", "/v6/x", "/v6/"},
	{"escape.example", "/a%20b/", "escape.example", "/a%20b/x", "escape.example", "/a b/x", "/a b/"},
	{"escape.example", "/c%2Fd/", "escape.example", "/c%2fd/x", "escape.example", "/c|d/x", "/c|d/"},
	{"escape.example", "/c/", "escape.example", "/c/d/x", "escape.example", "/c/d/x", "/c/"},
	{"escape.example", "/%7e/", "escape.example", "/~/x", "escape.example", "/~/x", "/~/"},
}

// configRoute is a route of a modelled configuration.
type configRoute struct {
	Place   int // index in places
	Service string
	Split   []splitShare // if not empty, it is used instead of Service
	Public  bool
	Timeout int // ms
}

// splitShare is a service's weight in a route's traffic split.
type splitShare struct {
	Service string
	Weight  int
}

// configTenant is a tenant of a modelled configuration.
type configTenant struct {
	Name     string
	Keys     []string
	Priority int
	Isolated bool
}

// modelledConfig is a configuration as the play's operator means it.
type modelledConfig struct {
	Version int64
	Routes  []configRoute
	Tenants []configTenant
	Filler  int // routes that nobody asks for, to make the text large
}

// services of a play, by the number of backends each has.
var configServices = []string{"red", "green", "blue"}

// text returns the configuration's JSON.
func (c *modelledConfig) text() string {
	var routes []map[string]any
	for _, r := range c.Routes {
		at := places[r.Place]
		route := map[string]any{
			"name": fmt.Sprint("route-", r.Place), "host": at.Host, "path_prefix": at.Prefix, "kind": "idempotent", "timeout_ms": r.Timeout,
			"target_latency_ms": 500, "max_attempts": 3, "public": r.Public,
		}
		if len(r.Split) > 0 {
			var split []map[string]any
			for _, share := range r.Split {
				split = append(split, map[string]any{"service": share.Service, "weight": share.Weight})
			}
			route["traffic_split"] = split
		} else {
			route["service"] = r.Service
		}
		routes = append(routes, route)
	}
	for i := range c.Filler {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("filler-", i), "host": fmt.Sprintf("filler-%d.example", i), "path_prefix": fmt.Sprintf("/filler/%d/", c.Version), "kind": "idempotent",
			"timeout_ms": 1000, "service": configServices[i%len(configServices)], "max_attempts": 1,
		})
	}
	var services []map[string]any
	for _, name := range configServices {
		services = append(services, map[string]any{"name": name, "health_check_path": "/health", "connection_limit": 300, "protocol": "h1"})
	}
	document := map[string]any{"version": c.Version, "routes": nonNil(routes), "services": services, "limits": map[string]any{"max_body_bytes": 4 << 20}}
	if len(c.Tenants) > 0 {
		var tenants []map[string]any
		for _, t := range c.Tenants {
			tenants = append(tenants, map[string]any{"name": t.Name, "api_keys": nonNil(t.Keys), "priority": t.Priority, "isolated": t.Isolated})
		}
		document["tenants"] = tenants
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		panic(err) // impossible: the document is made of maps, strings and numbers
	}
	return string(encoded)
}

// nonNil returns an empty slice for a nil one, which JSON would encode as null.
func nonNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}

// clone returns a copy that shares nothing.
func (c *modelledConfig) clone() modelledConfig {
	copied := *c
	copied.Routes, copied.Tenants = slices.Clone(c.Routes), slices.Clone(c.Tenants)
	for i := range copied.Routes {
		copied.Routes[i].Split = slices.Clone(copied.Routes[i].Split)
	}
	for i := range copied.Tenants {
		copied.Tenants[i].Keys = slices.Clone(copied.Tenants[i].Keys)
	}
	return copied
}

// probeAnswer is what a client saw.
type probeAnswer struct {
	Status  int
	Service string // that served the request, "" if none did
	Tenant  string // in whose name
	Key     string // that the backend was sent, "" if none
}

// decides reports whether the answer tells anything of the configuration: refusals for other reasons don't.
func (a probeAnswer) decides() bool {
	return a.Status == http.StatusOK || a.Status == http.StatusNotFound || a.Status == http.StatusUnauthorized || a.Status == http.StatusForbidden
}

// allows reports whether a configuration allows the answer to a request for a place with a key, "" for none.
func (c *modelledConfig) allows(at int, key string, answer probeAnswer) bool {
	route := c.routeOf(at)
	if route == nil {
		return answer.Status == http.StatusNotFound
	}
	tenant := c.tenantOf(key)
	if len(c.Tenants) > 0 && tenant == "" && !route.Public {
		return answer.Status == http.StatusUnauthorized
	}
	if answer.Status != http.StatusOK || answer.Tenant != tenant {
		return false
	}
	if len(c.Tenants) > 0 && answer.Key != "" {
		return false // keys aren't passed on
	}
	if len(route.Split) == 0 {
		return answer.Service == route.Service
	}
	return slices.ContainsFunc(route.Split, func(share splitShare) bool { return share.Service == answer.Service && share.Weight > 0 })
}

// routeOf returns the route with the longest prefix of a place's request, nil if there is none.
func (c *modelledConfig) routeOf(at int) (longest *configRoute) {
	for i := range c.Routes {
		r := &c.Routes[i]
		if places[r.Place].CanonicalHost != places[at].CanonicalHost || !strings.HasPrefix(places[at].Target, places[r.Place].CanonicalPrefix) {
			continue
		}
		if longest == nil || len(places[r.Place].CanonicalPrefix) > len(places[longest.Place].CanonicalPrefix) {
			longest = r
		}
	}
	return longest
}

// tenantOf returns the name of the tenant that has a key, "" if none has.
func (c *modelledConfig) tenantOf(key string) string {
	for _, t := range c.Tenants {
		if slices.Contains(t.Keys, key) {
			return t.Name
		}
	}
	return ""
}
