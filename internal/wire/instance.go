package wire

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"strings"

	"nettlefold/mixer"
)

// instance is one mixer with the ids and timer references by which the wire knows what it holds.
type instance struct {
	host          *host
	name          string
	mixer         *mixer.Mixer
	profiles      map[string]int
	tenants       map[string]int
	hasSecondStep []bool // by tariff, whether its lookups have one
	lookups       map[string]*pendingLookup
	byNumber      map[int64]*pendingLookup
	parts         map[string]*pendingPart
	timers        map[int64]mixer.TimerHandler
	lastTimerRef  int64
}

// held is a lookup that has no final answer yet.
type pendingLookup struct {
	handle        *mixer.Lookup
	id            string
	number        int64
	secondStepDue bool
	parts         []string
}

// heldPart is a part that may still get an outcome.
type pendingPart struct {
	lookup      *pendingLookup
	index       int
	inFlight    int // forwards without an outcome
	lookupEnded bool
}

// guard turns a failure inside the mixer into the message that declares it broken.
func (i *instance) callMixer(call func()) {
	defer func() {
		if r := recover(); r != nil {
			text := strings.NewReplacer("\n", " ", "\t", " ", "\r", " ").Replace(fmt.Sprint(r))
			i.writeAction("give_in", text)
		}
	}()
	call()
}

func (i *instance) parseAnnounce(f *fieldReader) func() {
	form := f.text("Form")
	f.integer("Gen")
	if form == "refused" {
		return func() { i.mixer.ListFailed(i.host.now) }
	}
	sheet := f.integer("Sheet")
	rows, ok := i.host.lists[sheet]
	if !ok {
		f.reject("Sheet", strconv.FormatInt(sheet, 10))
	}
	switch form {
	case "changes":
		return func() { i.mixer.UpdateList(i.host.now, rows, false) }
	case "all", "remembered":
		return func() { i.mixer.UpdateList(i.host.now, rows, true) }
	}
	f.reject("Form", form)
	return nil
}

func (i *instance) parseRequest(f *fieldReader) func() {
	id, grade := f.text("Corr"), f.text("Grade")
	customer := 0
	if realm := f.text("Realm"); realm != "-" && realm != "0" && len(i.tenants) > 0 {
		if customer = i.tenants[realm]; customer == 0 {
			f.reject("Realm", realm)
		}
	}
	if s := f.text("Object"); s != "-" {
		if _, err := strconv.ParseUint(s, 10, 64); err != nil {
			f.reject("Object", s)
		}
	}
	notAfter, effort := f.nanos("NotAfterMs"), f.nanosOr("EffortMs", 0)
	number, slice, amount, bits := f.integer("WholeNo"), f.integer("Slice"), f.optionalFloat("Amount"), f.integer("Bits")
	tariff, ok := i.profiles[grade]
	if !ok {
		f.reject("Grade", grade)
	}
	if bits&1 == 0 {
		effort = 0
	}
	if slice < 0 {
		if amount < 1 || amount != math.Trunc(amount) {
			f.reject("Amount", strconv.FormatFloat(amount, 'g', -1, 64))
		}
		return func() {
			l := &pendingLookup{id: id, number: number, secondStepDue: i.hasSecondStep[tariff]}
			i.lookups[id], i.byNumber[number] = l, l
			l.handle = i.mixer.StartLookup(i.host.now, mixer.LookupRequest{
				ID: id, Tariff: tariff, NotAfter: notAfter, Parts: int(amount), Again: bits&2 != 0, Customer: customer})
		}
	}
	return func() {
		l := i.byNumber[number]
		if l == nil {
			return // its lookup has ended within this batch
		}
		i.parts[id] = &pendingPart{lookup: l, index: len(l.parts)}
		l.parts = append(l.parts, id)
		l.handle.AddPart(i.host.now, mixer.PartRequest{ID: id, Slice: int(slice), Weight: amount, Effort: effort})
	}
}

var outcomes = map[int64]mixer.Outcome{
	0: mixer.Succeeded, 255: mixer.Failed, 254: mixer.Rejected, 253: mixer.TimedOut,
	252: mixer.Unreachable, 251: mixer.ConnectionReset, 250: mixer.Cancelled, 249: mixer.NeverSent,
}

func (f *fieldReader) outcome(field string) mixer.Outcome {
	n := f.integer(field)
	o, ok := outcomes[n]
	if !ok {
		f.reject(field, strconv.FormatInt(n, 10))
	}
	return o
}

// load checks a load report; no decision reads one, and values it does not know are skipped.
func (f *fieldReader) checkLoadReport(field string) {
	s := f.text(field)
	if s == "-" || f.err != nil {
		return
	}
	for _, pair := range strings.Split(s, ",") {
		_, v, ok := strings.Cut(pair, ":")
		if !ok {
			f.reject(field, pair)
			return
		}
		f.parseFloat(field, v)
	}
}

func (i *instance) parseSettled(f *fieldReader) func() {
	id, copy, over, took := f.text("Corr"), f.integer("Copy"), f.boolean("Over"), f.nanos("DurationMs")
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
		p.lookup.handle.HandleOutcome(i.host.now, p.index, int(copy), result, took, over)
	}
}

func (i *instance) parseTickDue(f *fieldReader) func() {
	ref := f.integer("Ref")
	return func() {
		whose := i.timers[ref]
		delete(i.timers, ref)
		if whose != nil {
			whose.HandleTimer(i.host.now)
		}
	}
}

// sampled checks the result of a probe; none are sent, so it has no effect.
func (i *instance) parseSampled(f *fieldReader) func() {
	f.text("Searcher")
	f.outcome("Result")
	f.nanos("DurationMs")
	f.checkLoadReport("Gauge")
	return func() {}
}

func (i *instance) parseDropped(f *fieldReader) func() {
	id := f.text("Corr")
	return func() {
		if l := i.lookups[id]; l != nil {
			i.endLookup(id)
			l.handle.Abandon(i.host.now)
		}
	}
}

// mail checks a message from another mixer; mixers here share nothing, so it has no effect.
func (i *instance) parseMail(f *fieldReader) func() {
	f.integer("Author")
	if msg := f.text("Msg"); msg != "-" {
		if _, err := base64.StdEncoding.DecodeString(msg); err != nil {
			f.reject("Msg", msg)
		}
	}
	return func() {}
}

// started checks the start of a streamed answer; no tariff streams, so it has no effect.
func (i *instance) parseStarted(f *fieldReader) func() {
	f.text("Corr")
	f.nanos("DurationMs")
	f.text("Searcher")
	f.integer("Copy")
	return func() {}
}

func (i *instance) parseRetire(f *fieldReader) func() {
	return func() { delete(i.host.instances, i.name) }
}

// end forgets a lookup; its parts stay known until their forwards have had their outcomes.
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

func (i *instance) releasePart(id string, p *pendingPart) {
	if p.lookupEnded && p.inFlight == 0 {
		delete(i.parts, id)
	}
}

// say writes one action.
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

func formatMillis(ns int64) string { return strconv.FormatFloat(float64(ns)/1e6, 'f', -1, 64) }

func formatBool(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

// What follows is the mixer's floor.

func (i *instance) Forward(part, searcher string, within int64) {
	if p := i.parts[part]; p != nil {
		p.inFlight++
	}
	i.writeAction("assign", part, searcher, formatMillis(within))
}

func (i *instance) Cancel(part string, forward int) {
	i.writeAction("stop_attempt", part, strconv.Itoa(forward))
}

func (i *instance) Answer(lookup string, whole bool) {
	i.writeAction("gather_up", lookup, formatBool(whole))
	if l := i.lookups[lookup]; l != nil && l.secondStepDue {
		l.secondStepDue = false // a second step follows
		return
	}
	i.endLookup(lookup)
}

func (i *instance) Reject(lookup string, wait int64) {
	i.writeAction("reject", lookup, formatMillis(wait))
	i.endLookup(lookup)
}

func (i *instance) Fail(lookup string) {
	i.writeAction("abort", lookup)
	i.endLookup(lookup)
}

func (i *instance) CloseIdle(searcher string) { i.writeAction("close_idle", searcher) }

func (i *instance) SetTimer(after int64, whose mixer.TimerHandler) {
	i.lastTimerRef++
	i.timers[i.lastTimerRef] = whose
	i.writeAction("set_timer", formatMillis(after), strconv.FormatInt(i.lastTimerRef, 10))
}

func (i *instance) Subscribe() { i.writeAction("watch", "1") }

func (i *instance) Note(text string) { i.writeAction("debug", text) }
