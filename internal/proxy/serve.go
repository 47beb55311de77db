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
	headerRequestID = "X-Request-Id"
	headerDeadline  = upstream.DeadlineHeader
	headerKey       = "Api-Key"
	headerTenant    = "X-Tenant-Name"
	headerModel     = "X-Model"
	headerUsage     = "X-Token-Usage"
	headerPrefix    = "X-Prompt-Prefix"
	headerLastEvent = "Last-Event-Id"
	headerExpected  = "X-Expected-Instance"
	headerVersion   = "Expect-Version"
	headerPriority  = "Priority"
	headerSalt      = "Cache-Salt"
	headerFetch     = "Kv-Fetch"
	headerSave      = "Kv-Save"
	headerNotRun    = "X-Not-Executed"
	headerSeal      = "X-Response-Seal"
	headerRetry     = "Retry-After"
)

const (
	// defaultDeadline is a request's whose client names none and whose route has no time either.
	defaultDeadline = 30 * time.Second
	// retryLater is when a client that was refused should come again, in seconds, and retryStarting one that came too early.
	retryLater    = 0.3
	retryStarting = 1.0
	// retryShare is the part of a route's target after which a refused client should come again, if that is sooner.
	retryShare = 0.1
	// againShare is the part of its route's time below which a request is taken for one that came again.
	againShare    = 0.98
	ranksOfTenant = 3 // routes' ranks within a tenant's
)

// request is one that a client sent, with what its route and tenant say.
type request struct {
	*http.Request
	writer   http.ResponseWriter
	id       string
	route    *config.Route
	service  string
	tenant   *config.Tenant
	body     []byte
	deadline time.Time // when its client gives it up
	limit    time.Time // when it is given up here
	taken    time.Time // when its head was read
	// configVersion is that of the configuration it is served by.
	configVersion int64
	again         bool // it has less time than its route gives: its client was refused before, or is in a hurry
	prompt        int
	parts         []kvindex.Part
	model         string
	rank          int         // of route and tenant, 0 is the most urgent
	header        http.Header // as it goes to a backend, but for what differs with the backend
}

// serve takes one request of a client.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	if p.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	table := p.config.Load()
	if table == nil {
		refuse(w, http.StatusServiceUnavailable, retryStarting, "no configuration is in force yet")
		return
	}
	p.counters.requests.Add(1)
	p.counters.running.Add(1)
	defer p.counters.running.Add(-1)
	ctx, end := untilClientLeaves(r.Context())
	defer end()
	q := &request{Request: r.WithContext(ctx), writer: w, id: r.Header.Get(headerRequestID)}
	if !q.place(table, p.splits) {
		return
	}
	if !q.read(table) {
		return
	}
	now := time.Now()
	if plan := p.stopping.Load(); plan != nil && !plan.mayBegin(q.limit) {
		q.refuseStopping()
		return
	}
	defer p.running.began(q, now)()
	p.forward(q)
}

// refuse answers for the system itself. A status that promises that the request has not run may say when to come again.
func refuse(w http.ResponseWriter, status int, retryAfter float64, reason string) {
	if retryAfter > 0 {
		w.Header().Set(headerRetry, strconv.FormatFloat(retryAfter, 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	io.WriteString(w, reason+"\n")
}

// place finds the route and the tenant, or refuses.
func (q *request) place(table *config.Table, splits *splits) bool {
	now := time.Now()
	q.taken, q.configVersion = now, table.Version
	q.route = table.Route(q.Host, q.URL.Path)
	if q.route == nil {
		refuse(q.writer, http.StatusNotFound, 0, "no route for this host and path")
		return false
	}
	if table.RequiresAPIKey() {
		q.tenant = table.Tenant(q.Header.Get(headerKey))
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
	q.limit, q.deadline = now.Add(limit), now.Add(limit)
	if ms, err := strconv.ParseFloat(q.Header.Get(headerDeadline), 64); err == nil && ms > 0 {
		q.deadline = now.Add(time.Duration(ms * float64(time.Millisecond)))
		if q.deadline.Before(q.limit) {
			q.limit = q.deadline
		}
		q.again = ms < againShare*limit.Seconds()*1000
	}
	return true
}

// read takes the body whole and what the headers say of the prompt, or refuses: at the request's limit if the body has not come by then.
func (q *request) read(table *config.Table) bool {
	connection := http.NewResponseController(q.writer)
	connection.SetReadDeadline(q.limit)
	most := table.Limits.MaxBodyBytes
	if most <= 0 {
		most = defaultBodyBytes
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
	q.parts = parseParts(q.Header.Get(headerPrefix))
	for _, part := range q.parts {
		q.prompt += part.Tokens
	}
	if tokens, _, ok := strings.Cut(q.Header.Get(headerUsage), ","); ok {
		if n, err := strconv.Atoi(strings.TrimSpace(tokens)); err == nil {
			q.prompt = max(q.prompt, n)
		}
	}
	q.outgoing(table)
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
var ownHeaders = []string{headerTenant, headerExpected, headerVersion, headerPriority, headerSalt, headerFetch, headerSave}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// outgoing makes the headers as they go to a backend.
func (q *request) outgoing(table *config.Table) {
	h := q.Header.Clone()
	for _, named := range strings.Split(h.Get("Connection"), ",") {
		if named = strings.TrimSpace(named); named != "" {
			h.Del(named)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	for _, name := range ownHeaders {
		h.Del(name)
	}
	if table.RequiresAPIKey() {
		h.Del(headerKey)
	}
	rank := q.route.Priority
	if q.tenant != nil {
		h.Set(headerTenant, q.tenant.Name)
		rank = q.tenant.Priority*ranksOfTenant + min(q.route.Priority, ranksOfTenant-1)
	}
	q.header, q.rank = h, rank
}

// wall is the name that keeps an isolated tenant's prompts apart.
func (q *request) wall() string {
	if q.tenant != nil && q.tenant.Isolated {
		return q.tenant.Name
	}
	return ""
}
