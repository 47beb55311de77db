package wire

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"strings"

	"nettlefold/mixer"
)

// instance is one mixer with its lookups, parts and timers by the identifiers of the line protocol. It
// implements mixer.Environment by writing actions.
type instance struct {
	host          *host
	name          string
	mixer         *mixer.Mixer
	profiles      map[string]int               // row of each request profile by name
	tenants       map[string]int               // row of each tenant by name, from 1
	hasSecondStep []bool                       // by profile, whether its lookups have a second step
	lookups       map[string]*pendingLookup    // by ID
	byNumber      map[int64]*pendingLookup     // the same lookups by number
	parts         map[string]*pendingPart      // by ID
	timers        map[int64]mixer.TimerHandler // by reference
	lastTimerRef  int64
}

// pendingLookup is a lookup without a final answer.
type pendingLookup struct {
	handle        *mixer.Lookup
	id            string
	number        int64
	secondStepDue bool     // the next answer is that of the first of two steps
	parts         []string // IDs
}

// pendingPart is a part that may still get an outcome.
type pendingPart struct {
	lookup      *pendingLookup
	index       int // among the parts of its lookup
	inFlight    int // attempts without an outcome
	lookupEnded bool
}

// callMixer makes a call on the mixer. If it panics, it writes the action that reports the mixer as failed.
func (i *instance) callMixer(call func()) {
	defer func() {
		if r := recover(); r != nil {
			text := strings.NewReplacer("\n", " ", "\t", " ", "\r", " ").Replace(fmt.Sprint(r))
			i.writeAction("give_in", text)
		}
	}()
	call()
}

// parseAnnounce parses an update of the membership list, or the refusal of a requested list.
func (i *instance) parseAnnounce(f *fieldReader) func() {
	form := f.text("Form")
	f.integer("Gen") // not used
	if form == "refused" {
		return func() { i.mixer.ListFailed(i.host.now) }
	}
	number := f.integer("Sheet")
	entries, ok := i.host.lists[number]
	if !ok {
		f.reject("unknown list in Sheet", strconv.FormatInt(number, 10))
	}
	switch form {
	case "changes":
		return func() { i.mixer.UpdateList(i.host.now, entries, false) }
	case "all", "remembered": // both are full lists
		return func() { i.mixer.UpdateList(i.host.now, entries, true) }
	}
	f.reject("Form", form)
	return nil
}

// parseRequest parses a lookup (Slice below 0, with its number of parts as Amount) or one of its parts. Bit 0 of
// Bits says that EffortMs is valid, bit 1 that the client has sent the lookup before.
func (i *instance) parseRequest(f *fieldReader) func() {
	id, profileName := f.text("Corr"), f.text("Grade")
	tenant := 0
	if name := f.text("Realm"); name != "-" && name != "0" && len(i.tenants) > 0 {
		if tenant = i.tenants[name]; tenant == 0 {
			f.reject("Realm", name)
		}
	}
	// The object is validated but not used.
	if object := f.text("Object"); object != "-" {
		if _, err := strconv.ParseUint(object, 10, 64); err != nil {
			f.reject("Object", object)
		}
	}
	notAfter, effort := f.nanos("NotAfterMs"), f.nanosOr("EffortMs", 0)
	number, shard, amount, bits := f.integer("WholeNo"), f.integer("Slice"), f.optionalFloat("Amount"), f.integer("Bits")
	profile, ok := i.profiles[profileName]
	if !ok {
		f.reject("Grade", profileName)
	}
	if bits&1 == 0 {
		effort = 0
	}
	if shard < 0 {
		if amount < 1 || amount != math.Trunc(amount) {
			f.reject("Amount", strconv.FormatFloat(amount, 'g', -1, 64))
		}
		return func() {
			l := &pendingLookup{id: id, number: number, secondStepDue: i.hasSecondStep[profile]}
			i.lookups[id], i.byNumber[number] = l, l
			l.handle = i.mixer.StartLookup(i.host.now, mixer.LookupRequest{
				ID: id, Tariff: profile, NotAfter: notAfter, Parts: int(amount), Again: bits&2 != 0, Customer: tenant})
		}
	}
	return func() {
		l := i.byNumber[number]
		if l == nil {
			return // no such lookup, for example because it has ended within this batch
		}
		i.parts[id] = &pendingPart{lookup: l, index: len(l.parts)}
		l.parts = append(l.parts, id)
		l.handle.AddPart(i.host.now, mixer.PartRequest{ID: id, Slice: int(shard), Weight: amount, Effort: effort})
	}
}

// outcomes maps the result codes of the line protocol to outcomes.
var outcomes = map[int64]mixer.Outcome{
	0: mixer.Succeeded, 255: mixer.Failed, 254: mixer.Rejected, 253: mixer.TimedOut,
	252: mixer.Unreachable, 251: mixer.ConnectionReset, 250: mixer.Cancelled, 249: mixer.NeverSent,
}

// outcome returns the next value, a result code, as an outcome.
func (f *fieldReader) outcome(field string) mixer.Outcome {
	n := f.integer(field)
	o, ok := outcomes[n]
	if !ok {
		f.reject(field, strconv.FormatInt(n, 10))
	}
	return o
}

// checkLoadReport validates the next value, a load report: name:number pairs separated by commas. The mixer does
// not use load reports, so the names are not checked.
func (f *fieldReader) checkLoadReport(field string) {
	s := f.text(field)
	if s == "-" || f.err != nil {
		return
	}
	for _, pair := range strings.Split(s, ",") {
		_, number, ok := strings.Cut(pair, ":")
		if !ok {
			f.reject(field, pair)
			return
		}
		f.parseFloat(field, number)
	}
}

// parseSettled parses the outcome of an attempt. If Over is set, the part gets no further attempt.
func (i *instance) parseSettled(f *fieldReader) func() {
	id, attempt, closed, duration := f.text("Corr"), f.integer("Copy"), f.boolean("Over"), f.nanos("DurationMs")
	result := f.outcome("Result")
	f.text("Searcher")
	f.checkLoadReport("Gauge")
	return func() {
		p := i.parts[id]
		if p == nil {
			return
		}
		p.inFlight--
		i.releasePart(id, p)
		p.lookup.handle.HandleOutcome(i.host.now, p.index, int(attempt), result, duration, closed)
	}
}

// parseTickDue parses the expiry of a timer. A reference that is not known is ignored.
func (i *instance) parseTickDue(f *fieldReader) func() {
	ref := f.integer("Ref")
	return func() {
		handler := i.timers[ref]
		delete(i.timers, ref)
		if handler != nil {
			handler.HandleTimer(i.host.now)
		}
	}
}

// parseSampled validates the result of a probe. It has no effect, as the mixer sends no probes.
func (i *instance) parseSampled(f *fieldReader) func() {
	f.text("Searcher")
	f.outcome("Result")
	f.nanos("DurationMs")
	f.checkLoadReport("Gauge")
	return func() {}
}

// parseDropped parses the disconnection of a lookup's client.
func (i *instance) parseDropped(f *fieldReader) func() {
	id := f.text("Corr")
	return func() {
		if l := i.lookups[id]; l != nil {
			i.endLookup(id)
			l.handle.Abandon(i.host.now)
		}
	}
}

// parseMail validates a message from another mixer. It has no effect, as the mixers of this host exchange no
// messages.
func (i *instance) parseMail(f *fieldReader) func() {
	f.integer("Author")
	if body := f.text("Msg"); body != "-" {
		if _, err := base64.StdEncoding.DecodeString(body); err != nil {
			f.reject("Msg", body)
		}
	}
	return func() {}
}

// parseStarted validates the start of a streamed answer. It has no effect, as no request profile streams.
func (i *instance) parseStarted(f *fieldReader) func() {
	f.text("Corr")
	f.nanos("DurationMs")
	f.text("Searcher")
	f.integer("Copy")
	return func() {}
}

// parseRetire parses the end of the instance.
func (i *instance) parseRetire(f *fieldReader) func() {
	return func() { delete(i.host.instances, i.name) }
}

// endLookup removes a lookup. Its parts are kept until all their attempts have an outcome.
func (i *instance) endLookup(id string) {
	l := i.lookups[id]
	if l == nil {
		return
	}
	delete(i.lookups, id)
	delete(i.byNumber, l.number)
	for _, part := range l.parts {
		if p := i.parts[part]; p != nil {
			p.lookupEnded = true
			i.releasePart(part, p)
		}
	}
}

// releasePart removes a part once its lookup has ended and no attempt is in flight.
func (i *instance) releasePart(id string, p *pendingPart) {
	if p.lookupEnded && p.inFlight == 0 {
		delete(i.parts, id)
	}
}

// writeAction writes one action of the mixer.
func (i *instance) writeAction(message string, values ...string) {
	w := i.host.out
	w.WriteString(message)
	w.WriteByte('\t')
	w.WriteString(i.name)
	for _, v := range values {
		w.WriteByte('\t')
		w.WriteString(v)
	}
	w.WriteByte('\n')
}

// formatMillis formats a duration in nanoseconds as milliseconds.
func formatMillis(ns int64) string { return strconv.FormatFloat(float64(ns)/1e6, 'f', -1, 64) }

// formatBool formats a flag as 0 or 1.
func formatBool(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

// Forward sends a part to a backend, with a timeout in ns.
func (i *instance) Forward(part, searcher string, within int64) {
	if p := i.parts[part]; p != nil {
		p.inFlight++
	}
	i.writeAction("assign", part, searcher, formatMillis(within))
}

// Cancel cancels one attempt of a part.
func (i *instance) Cancel(part string, forward int) {
	i.writeAction("stop_attempt", part, strconv.Itoa(forward))
}

// Answer answers a lookup, or the first step of one with two steps.
func (i *instance) Answer(lookup string, whole bool) {
	i.writeAction("gather_up", lookup, formatBool(whole))
	if l := i.lookups[lookup]; l != nil && l.secondStepDue {
		l.secondStepDue = false // the lookup goes on with its second step
		return
	}
	i.endLookup(lookup)
}

// Reject rejects a lookup and advises the client to wait, in ns, before a retry.
func (i *instance) Reject(lookup string, wait int64) {
	i.writeAction("reject", lookup, formatMillis(wait))
	i.endLookup(lookup)
}

// Fail ends a lookup without an answer.
func (i *instance) Fail(lookup string) {
	i.writeAction("abort", lookup)
	i.endLookup(lookup)
}

// CloseIdle closes the idle connections to a backend.
func (i *instance) CloseIdle(searcher string) { i.writeAction("close_idle", searcher) }

// SetTimer sets a timer that calls the handler after a duration in ns.
func (i *instance) SetTimer(after int64, handler mixer.TimerHandler) {
	i.lastTimerRef++
	i.timers[i.lastTimerRef] = handler
	i.writeAction("set_timer", formatMillis(after), strconv.FormatInt(i.lastTimerRef, 10))
}

// Subscribe subscribes to updates of the membership list.
func (i *instance) Subscribe() { i.writeAction("watch", "1") }

// Note writes a debug message.
func (i *instance) Note(text string) { i.writeAction("debug", text) }
