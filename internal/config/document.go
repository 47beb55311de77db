// Package config parses and validates the operator's configuration, and compiles it into the table
// that requests are routed by.
package config

import "time"

// The values of Route.Kind.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming"
)

// Document is a configuration as the operator sends it. Unknown fields are ignored here; the
// fleet stores the JSON text of the configuration unchanged.
type Document struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants"`
	Limits   Limits    `json:"limits"`
	// Digest is the TextDigest of the JSON text.
	Digest string `json:"-"`
}

// Route maps requests with a host and path prefix to services, and says how they are handled. Times
// are in milliseconds.
type Route struct {
	Name            string          `json:"name"`
	Host            string          `json:"host"`
	PathPrefix      string          `json:"path_prefix"`
	Kind            string          `json:"kind"`
	TimeoutMS       float64         `json:"timeout_ms"`
	TargetLatencyMS float64         `json:"target_latency_ms"`
	GapAimMS        float64         `json:"gap_aim_ms"` // target time between streamed tokens
	Priority        int             `json:"priority"`   // 0 is the most urgent
	MaxAttempts     int             `json:"max_attempts"`
	Public          bool            `json:"public"` // requests need no API key
	Sticky          bool            `json:"sticky"`
	Resumable       bool            `json:"resumable"` // a streaming request may run more than once
	Service         string          `json:"service"`   // unless Split is set
	Split           []ServiceWeight `json:"traffic_split"`
}

// ServiceWeight is a service's weight in the traffic split of a route.
type ServiceWeight struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a set of backends, or a KV cache store if KVStoreAddress is set.
type Service struct {
	Name             string  `json:"name"`
	ConnectionLimit  float64 `json:"connection_limit"` // per backend, for all mixers; 0 if not set
	ColdStartS       float64 `json:"cold_start_s"`     // seconds for which a new backend is cold, that is, limited to ColdPerS
	ColdPerS         float64 `json:"cold_per_s"`       // requests per second that a cold backend sustains
	KVStoreAddress   string  `json:"kv_store_address"`
	Zone             string  `json:"zone"`
	KVCapacityTokens int64   `json:"kv_capacity_tokens"`
	MaxConcurrency   int     `json:"max_concurrency"`
	LinkMbps         float64 `json:"link_mbps"`
	Engine           *Engine `json:"engine"`
}

// Engine describes the model engines of a service's backends.
type Engine struct {
	Slots            int     `json:"slots"`
	KVCapacityTokens int64   `json:"kv_capacity_tokens"`
	KVTokenBytes     float64 `json:"kv_token_bytes"` // size of the KV cache per token
	LinkMbps         float64 `json:"link_mbps"`
	MaxConcurrency   int     `json:"max_concurrency"`
	Models           []Model `json:"models"`
}

// Model is a model that a service's engines serve.
type Model struct {
	Name string `json:"name"`
}

// Tenant is a client organization, identified by its API keys.
type Tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"` // 0 is the most urgent, before the priority of the route
	Isolated bool     `json:"isolated"`
}

// Limits bound the size of a client's requests and how long its connections may be idle.
type Limits struct {
	MaxHeaderBytes  int64   `json:"max_header_bytes"`
	MaxBodyBytes    int64   `json:"max_body_bytes"`
	HeaderTimeoutMS float64 `json:"header_timeout_ms"`
	IdleTimeoutMS   float64 `json:"idle_timeout_ms"`
}

// Timeout returns how long a request of this route may take, 0 if the route sets no limit.
func (r *Route) Timeout() time.Duration { return Milliseconds(r.TimeoutMS) }

// maxDuration is the longest duration that Milliseconds returns.
const maxDuration = 365 * 24 * time.Hour

// Milliseconds converts a number of milliseconds to a duration, at most maxDuration: processors differ on the
// conversion of numbers that a duration can't hold.
func Milliseconds(ms float64) time.Duration {
	if ms >= float64(maxDuration/time.Millisecond) {
		return maxDuration
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Repeatable reports whether a request of this route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}
