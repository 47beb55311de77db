package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"nettlefold/internal/config"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/memlimit"
	"nettlefold/internal/upstream"
)

// Names of request and response headers.
const (
	headerRequestID        = "X-Request-Id"
	headerDeadline         = upstream.DeadlineHeader
	headerAPIKey           = "Api-Key"
	headerTenantName       = "X-Tenant-Name"
	headerModel            = "X-Model"
	headerTokenUsage       = "X-Token-Usage"
	headerPromptPrefix     = "X-Prompt-Prefix"
	headerLastEvent        = "Last-Event-Id"
	headerExpectedInstance = "X-Expected-Instance" // backend ID; a backend with another ID answers 421
	headerExpectedVersion  = "Expect-Version"      // version of the model's weights that the backend must serve
	headerPriority         = "Priority"
	headerCacheSalt        = "Cache-Salt"
	headerKVFetch          = "Kv-Fetch"
	headerKVSave           = "Kv-Save"
	headerNotExecuted      = "X-Not-Executed"
	headerResponseSeal     = "X-Response-Seal"
	headerRetryAfter       = "Retry-After"
)

const (
	// defaultTimeout bounds a request whose route sets no timeout.
	defaultTimeout = 30 * time.Second
	// maxRetryAfterSeconds bounds the time after which a refused client should retry.
	maxRetryAfterSeconds = 0.3
	// startupRetryAfterSeconds is the time after which a client should retry that was refused
	// because no configuration is in force yet.
	startupRetryAfterSeconds = 1.0
	// retryAfterTargetFraction is the fraction of the route's target latency after which a refused
	// client should retry.
	retryAfterTargetFraction = 0.1
	// likelyRetryFraction is the fraction of the route's timeout below which a client's deadline marks
	// its request as a likely retry.
	likelyRetryFraction = 0.98
	// minBodyRoom and maxBodyRoom are between which sizes, in bytes, room is made for a request body before any of it has
	// arrived.
	minBodyRoom = 512
	maxBodyRoom = 32 << 10
	// bodyCopies is how often a request body is in memory: as it was read, and as it is sent to a backend.
	bodyCopies = 2
	// routeRanksPerTenant is the number of route ranks within one tenant rank. For a request with a
	// tenant, higher route priorities count as the last of them.
	routeRanksPerTenant = 3
)

// request is a client's request together with the settings of its route and tenant.
type request struct {
	*http.Request
	writer            http.ResponseWriter
	id                string
	route             *config.Route
	service           string
	tenant            *config.Tenant
	body              []byte
	clientDeadline    time.Time // when the client gives up
	effectiveDeadline time.Time // when the proxy gives up: at clientDeadline or the route's timeout
	receivedAt        time.Time // when the request header had been read
	configVersion     int64     // version of the configuration that the request is served by
	// likelyRetry is set if the client allows less time than the route: the request may be a retry with
	// the remaining time, or have a short deadline from the start.
	likelyRetry   bool
	promptTokens  int
	promptParts   []kvindex.Part
	model         string
	rank          int         // priority of tenant and route; 0 is the most urgent
	backendHeader http.Header // header for all backends, without the fields that differ by backend
}

// serve handles a request of a client.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	if p.shutdownPlan.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	table := p.config.Load()
	if table == nil {
		refuse(w, http.StatusServiceUnavailable, startupRetryAfterSeconds, "no configuration is in force yet")
		return
	}
	p.counters.requests.Add(1)
	p.counters.inFlight.Add(1)
	defer p.counters.inFlight.Add(-1)
	ctx, end := contextUntilDisconnect(r.Context())
	defer end()
	q := &request{Request: r.WithContext(ctx), writer: w, id: r.Header.Get(headerRequestID)}
	if !q.resolveRoute(table, p.trafficSplitter) {
		return
	}
	p.logFirstRequest(table, q)
	memory := p.memory.NewAccount()
	defer memory.Close()
	if !q.readBody(table, &memory) {
		return
	}
	now := time.Now()
	if plan := p.shutdownPlan.Load(); plan != nil && !plan.admits(q.effectiveDeadline) {
		q.refuseShuttingDown()
		return
	}
	defer p.openRequests.add(q, now)()
	p.forward(q)
}

// logFirstRequest logs the first request that is routed by a configuration, unless one was routed by a newer
// configuration before.
func (p *Proxy) logFirstRequest(table *config.Table, q *request) {
	newest := p.serving.Load()
	if newest != nil && newest.Version >= table.Version || !p.serving.CompareAndSwap(newest, table) {
		return
	}
	p.log.Info().Str("step", "configuration").Int64("version", table.Version).Str("digest", table.Digest).Str("request", q.id).
		Str("route", q.route.Name).Msg("first request routed by a configuration")
}

// refuse answers a request on behalf of the proxy. retryAfter is in seconds, 0 for none; it is set
// only with status 503, which means that the request was not executed.
func refuse(w http.ResponseWriter, status int, retryAfter float64, reason string) {
	if retryAfter > 0 {
		w.Header().Set(headerRetryAfter, strconv.FormatFloat(retryAfter, 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	io.WriteString(w, reason+"\n")
}

// resolveRoute finds the route, tenant, service and deadline of the request. If there is no route or
// the key is unknown, it refuses the request and returns false.
func (q *request) resolveRoute(table *config.Table, splitter *trafficSplitter) bool {
	now := time.Now()
	q.receivedAt, q.configVersion = now, table.Version
	q.route = table.RouteOf(q.Request)
	if q.route == nil {
		refuse(q.writer, http.StatusNotFound, 0, "no route for this host and path")
		return false
	}
	if table.RequiresAPIKey() {
		q.tenant = table.Tenant(q.Header.Get(headerAPIKey))
		if q.tenant == nil && !q.route.Public {
			refuse(q.writer, http.StatusUnauthorized, 0, "the key is not known")
			return false
		}
	}
	q.service = q.route.PickService(splitter.draw(q.route))
	timeout := q.route.Timeout()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	q.effectiveDeadline, q.clientDeadline = now.Add(timeout), now.Add(timeout)
	if ms, err := strconv.ParseFloat(q.Header.Get(headerDeadline), 64); err == nil && ms > 0 {
		q.clientDeadline = now.Add(config.Milliseconds(ms))
		if q.clientDeadline.Before(q.effectiveDeadline) {
			q.effectiveDeadline = q.clientDeadline
		}
		q.likelyRetry = ms < likelyRetryFraction*timeout.Seconds()*1000
	}
	return true
}

// readBody reads the whole body and the headers that describe the prompt. If the body is too large, has
// not arrived by the deadline or finds no memory, it refuses the request and returns false.
func (q *request) readBody(table *config.Table, memory *memlimit.Account) bool {
	connection := http.NewResponseController(q.writer)
	connection.SetReadDeadline(q.effectiveDeadline)
	maxBytes := table.Limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if q.ContentLength > maxBytes {
		refuse(q.writer, http.StatusRequestEntityTooLarge, 0, "the body is too large")
		return false
	}
	body, err := memory.ReadAll(http.MaxBytesReader(q.writer, q.Body, maxBytes), memlimit.ReadOptions{
		MaxBytes: maxBytes, InitialBytes: int(min(maxBodyRoom, max(minBodyRoom, q.ContentLength+1))), Weight: bodyCopies,
	})
	if err != nil {
		if errors.Is(err, memlimit.ErrExhausted) {
			q.writer.Header().Set("Connection", "close")
			refuse(q.writer, http.StatusServiceUnavailable, q.retryAfterSeconds(), "there is no memory for the body now")
			return false
		}
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			refuse(q.writer, http.StatusRequestEntityTooLarge, 0, "the body is too large")
			return false
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			q.writer.Header().Set("Connection", "close")
			refuse(q.writer, http.StatusRequestTimeout, 0, "the body did not come in time")
			return false
		}
		refuse(q.writer, http.StatusBadRequest, 0, "the body cannot be read")
		return false
	}
	connection.SetReadDeadline(time.Time{})
	q.body = body
	q.model = q.Header.Get(headerModel)
	q.promptParts = parseParts(q.Header.Get(headerPromptPrefix))
	for _, part := range q.promptParts {
		q.promptTokens += part.Tokens
	}
	if tokens, _, ok := strings.Cut(q.Header.Get(headerTokenUsage), ","); ok {
		if n, err := strconv.Atoi(strings.TrimSpace(tokens)); err == nil {
			q.promptTokens = max(q.promptTokens, n)
		}
	}
	q.setBackendHeader(table)
	return true
}

// parseParts parses a comma-separated list of ID:TOKENS up to the first malformed item.
func parseParts(text string) (parts []kvindex.Part) {
	for _, item := range strings.Split(text, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(item), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil || n < 0 {
			return parts
		}
		parts = append(parts, kvindex.Part{ID: id, Tokens: n})
	}
	return parts
}

// reservedHeaders are set by the proxy only; values sent by clients are dropped.
var reservedHeaders = []string{
	headerTenantName, headerExpectedInstance, headerExpectedVersion, headerPriority, headerCacheSalt, headerKVFetch, headerKVSave,
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// setBackendHeader derives the header for backends and the rank of the request.
func (q *request) setBackendHeader(table *config.Table) {
	h := q.Header.Clone()
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	for _, name := range reservedHeaders {
		h.Del(name)
	}
	if table.RequiresAPIKey() {
		h.Del(headerAPIKey)
	}
	rank := q.route.Priority
	if q.tenant != nil {
		h.Set(headerTenantName, q.tenantName())
		rank = q.tenant.Priority*routeRanksPerTenant + min(q.route.Priority, routeRanksPerTenant-1)
	}
	q.backendHeader, q.rank = h, rank
}

// tenantName returns the name of the request's tenant, "" if it has none.
func (q *request) tenantName() string {
	if q.tenant == nil {
		return ""
	}
	return q.tenant.Name
}
