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
	"nettlefold/internal/upstream"
)

// Headers of requests and answers.
const (
	headerRequestID        = "X-Request-Id"
	headerDeadline         = upstream.DeadlineHeader
	headerAPIKey           = "Api-Key"
	headerTenantName       = "X-Tenant-Name"
	headerModel            = "X-Model"
	headerTokenUsage       = "X-Token-Usage"
	headerPromptPrefix     = "X-Prompt-Prefix"
	headerLastEvent        = "Last-Event-Id"
	headerExpectedInstance = "X-Expected-Instance"
	headerExpectVersion    = "Expect-Version"
	headerPriority         = "Priority"
	headerCacheSalt        = "Cache-Salt"
	headerKVFetch          = "Kv-Fetch"
	headerKVSave           = "Kv-Save"
	headerNotExecuted      = "X-Not-Executed"
	headerResponseSeal     = "X-Response-Seal"
	headerRetryAfter       = "Retry-After"
)

const (
	// defaultDeadline is a request's whose client names none and whose route has no time either.
	defaultDeadline = 30 * time.Second
	// retryLater is when a client that was refused should come again, in seconds, and retryStarting one that came too early.
	maxRetryAfterSeconds     = 0.3
	startupRetryAfterSeconds = 1.0
	// retryShare is the part of a route's target after which a refused client should come again, if that is sooner.
	retryAfterTargetFraction = 0.1
	// againShare is the part of its route's time below which a request is taken for one that came again.
	likelyRetryFraction = 0.98
	routeRanksPerTenant = 3 // routes' ranks within a tenant's
)

// request is one that a client sent, with what its route and tenant say.
type request struct {
	*http.Request
	writer            http.ResponseWriter
	id                string
	route             *config.Route
	service           string
	tenant            *config.Tenant
	body              []byte
	clientDeadline    time.Time // when its client gives it up
	effectiveDeadline time.Time // when it is given up here
	receivedAt        time.Time // when its head was read
	// configVersion is that of the configuration it is served by.
	configVersion int64
	likelyRetry   bool // it has less time than its route gives: its client was refused before, or is in a hurry
	promptTokens  int
	promptParts   []kvindex.Part
	model         string
	rank          int         // of route and tenant, 0 is the most urgent
	backendHeader http.Header // as it goes to a backend, but for what differs with the backend
}

// serve takes one request of a client.
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
	if !q.readBody(table) {
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

// refuse answers for the system itself. A status that promises that the request has not run may say when to come again.
func refuse(w http.ResponseWriter, status int, retryAfter float64, reason string) {
	if retryAfter > 0 {
		w.Header().Set(headerRetryAfter, strconv.FormatFloat(retryAfter, 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	io.WriteString(w, reason+"\n")
}

// place finds the route and the tenant, or refuses.
func (q *request) resolveRoute(table *config.Table, splits *trafficSplitter) bool {
	now := time.Now()
	q.receivedAt, q.configVersion = now, table.Version
	q.route = table.Route(q.Host, q.URL.Path)
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
	q.service = q.route.PickService(splits.draw(q.route))
	limit := defaultDeadline
	if q.route.TimeoutMS > 0 {
		limit = time.Duration(q.route.TimeoutMS * float64(time.Millisecond))
	}
	q.effectiveDeadline, q.clientDeadline = now.Add(limit), now.Add(limit)
	if ms, err := strconv.ParseFloat(q.Header.Get(headerDeadline), 64); err == nil && ms > 0 {
		q.clientDeadline = now.Add(time.Duration(ms * float64(time.Millisecond)))
		if q.clientDeadline.Before(q.effectiveDeadline) {
			q.effectiveDeadline = q.clientDeadline
		}
		q.likelyRetry = ms < likelyRetryFraction*limit.Seconds()*1000
	}
	return true
}

// read takes the body whole and what the headers say of the prompt, or refuses: at the request's limit if the body has not come by then.
func (q *request) readBody(table *config.Table) bool {
	connection := http.NewResponseController(q.writer)
	connection.SetReadDeadline(q.effectiveDeadline)
	most := table.Limits.MaxBodyBytes
	if most <= 0 {
		most = defaultMaxBodyBytes
	}
	if q.ContentLength > most {
		refuse(q.writer, http.StatusRequestEntityTooLarge, 0, "the body is too large")
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.writer, q.Body, most))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
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

// parseParts reads ID:TOKENS parted by commas, up to what cannot be read.
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

// ownHeaders are set by this system alone, whatever a client sent.
var reservedHeaders = []string{headerTenantName, headerExpectedInstance, headerExpectVersion, headerPriority, headerCacheSalt, headerKVFetch, headerKVSave}

// hopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// outgoing makes the headers as they go to a backend.
func (q *request) setBackendHeader(table *config.Table) {
	h := q.Header.Clone()
	for _, named := range strings.Split(h.Get("Connection"), ",") {
		if named = strings.TrimSpace(named); named != "" {
			h.Del(named)
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
		h.Set(headerTenantName, q.tenant.Name)
		rank = q.tenant.Priority*routeRanksPerTenant + min(q.route.Priority, routeRanksPerTenant-1)
	}
	q.backendHeader, q.rank = h, rank
}

// wall is the name that keeps an isolated tenant's prompts apart.
func (q *request) isolatedTenant() string {
	if q.tenant != nil && q.tenant.Isolated {
		return q.tenant.Name
	}
	return ""
}
