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
	host       *host
	name       string
	m          *mixer.Mixer
	tariffs    map[string]int
	customers  map[string]int
	secondStep []bool // by tariff, whether its lookups have one
	lookups    map[string]*held
	byNumber   map[int64]*held
	parts      map[string]*heldPart
	timers     map[int64]mixer.TimerHandler
	lastRef    int64
}

// held is a lookup that has no final answer yet.
type held struct {
	h      *mixer.Lookup
	id     string
	number int64
	fetch  bool
	parts  []string
}

// heldPart is a part that may still get an outcome.
type heldPart struct {
	of    *held
	index int
	out   int // forwards without an outcome
	ended bool
}

// guard turns a failure inside the mixer into the message that declares it broken.
func (i *instance) guard(call func()) {
	defer func() {
		if r := recover(); r != nil {
			text := strings.NewReplacer("\n", " ", "\t", " ", "\r", " ").Replace(fmt.Sprint(r))
			i.say("give_in", text)
		}
	}()
	call()
}

func (i *instance) announce(f *fields) func() {
	form := f.text("Form")
	f.whole("Gen")
	if form == "refused" {
		return func() { i.m.ListFailed(i.host.now) }
	}
	sheet := f.whole("Sheet")
	rows, ok := i.host.sheets[sheet]
	if !ok {
		f.bad("Sheet", strconv.FormatInt(sheet, 10))
	}
	switch form {
	case "changes":
		return func() { i.m.UpdateList(i.host.now, rows, false) }
	case "all", "remembered":
		return func() { i.m.UpdateList(i.host.now, rows, true) }
	}
	f.bad("Form", form)
	return nil
}

func (i *instance) take(f *fields) func() {
	id, grade := f.text("Corr"), f.text("Grade")
	customer := 0
	if realm := f.text("Realm"); realm != "-" && realm != "0" && len(i.customers) > 0 {
		if customer = i.customers[realm]; customer == 0 {
			f.bad("Realm", realm)
		}
	}
	if s := f.text("Object"); s != "-" {
		if _, err := strconv.ParseUint(s, 10, 64); err != nil {
			f.bad("Object", s)
		}
	}
	notAfter, effort := f.time("NotAfterMs"), f.timeOr("EffortMs", 0)
	number, slice, amount, bits := f.whole("WholeNo"), f.whole("Slice"), f.float("Amount"), f.whole("Bits")
	tariff, ok := i.tariffs[grade]
	if !ok {
		f.bad("Grade", grade)
	}
	if bits&1 == 0 {
		effort = 0
	}
	if slice < 0 {
		if amount < 1 || amount != math.Trunc(amount) {
			f.bad("Amount", strconv.FormatFloat(amount, 'g', -1, 64))
		}
		return func() {
			l := &held{id: id, number: number, fetch: i.secondStep[tariff]}
			i.lookups[id], i.byNumber[number] = l, l
			l.h = i.m.StartLookup(i.host.now, mixer.LookupRequest{
				ID: id, Tariff: tariff, NotAfter: notAfter, Parts: int(amount), Again: bits&2 != 0, Customer: customer})
		}
	}
	return func() {
		l := i.byNumber[number]
		if l == nil {
			return // its lookup has ended within this batch
		}
		i.parts[id] = &heldPart{of: l, index: len(l.parts)}
		l.parts = append(l.parts, id)
		l.h.AddPart(i.host.now, mixer.PartRequest{ID: id, Slice: int(slice), Weight: amount, Effort: effort})
	}
}

var outcomes = map[int64]mixer.Outcome{
	0: mixer.Succeeded, 255: mixer.Failed, 254: mixer.Rejected, 253: mixer.TimedOut,
	252: mixer.Unreachable, 251: mixer.ConnectionReset, 250: mixer.Cancelled, 249: mixer.NeverSent,
}

func (f *fields) outcome(field string) mixer.Outcome {
	n := f.whole(field)
	o, ok := outcomes[n]
	if !ok {
		f.bad(field, strconv.FormatInt(n, 10))
	}
	return o
}

// load checks a load report; no decision reads one, and values it does not know are skipped.
func (f *fields) load(field string) {
	s := f.text(field)
	if s == "-" || f.err != nil {
		return
	}
	for _, pair := range strings.Split(s, ",") {
		_, v, ok := strings.Cut(pair, ":")
		if !ok {
			f.bad(field, pair)
			return
		}
		f.number(field, v)
	}
}

func (i *instance) settled(f *fields) func() {
	id, copy, over, took := f.text("Corr"), f.whole("Copy"), f.bool("Over"), f.time("DurationMs")
	result := f.outcome("Result")
	f.text("Searcher")
	f.load("Gauge")
	return func() {
		p := i.parts[id]
		if p == nil {
			return
		}
		p.out--
		i.letGo(id, p)
		p.of.h.HandleOutcome(i.host.now, p.index, int(copy), result, took, over)
	}
}

func (i *instance) due(f *fields) func() {
	ref := f.whole("Ref")
	return func() {
		whose := i.timers[ref]
		delete(i.timers, ref)
		if whose != nil {
			whose.HandleTimer(i.host.now)
		}
	}
}

// sampled checks the result of a probe; none are sent, so it has no effect.
func (i *instance) sampled(f *fields) func() {
	f.text("Searcher")
	f.outcome("Result")
	f.time("DurationMs")
	f.load("Gauge")
	return func() {}
}

func (i *instance) dropped(f *fields) func() {
	id := f.text("Corr")
	return func() {
		if l := i.lookups[id]; l != nil {
			i.end(id)
			l.h.Abandon(i.host.now)
		}
	}
}

// mail checks a message from another mixer; mixers here share nothing, so it has no effect.
func (i *instance) mail(f *fields) func() {
	f.whole("Author")
	if msg := f.text("Msg"); msg != "-" {
		if _, err := base64.StdEncoding.DecodeString(msg); err != nil {
			f.bad("Msg", msg)
		}
	}
	return func() {}
}

// started checks the start of a streamed answer; no tariff streams, so it has no effect.
func (i *instance) started(f *fields) func() {
	f.text("Corr")
	f.time("DurationMs")
	f.text("Searcher")
	f.whole("Copy")
	return func() {}
}

func (i *instance) retire(f *fields) func() {
	return func() { delete(i.host.instances, i.name) }
}

// end forgets a lookup; its parts stay known until their forwards have had their outcomes.
func (i *instance) end(id string) {
	l := i.lookups[id]
	if l == nil {
		return
	}
	delete(i.lookups, id)
	delete(i.byNumber, l.number)
	for _, part := range l.parts {
		if p := i.parts[part]; p != nil {
			p.ended = true
			i.letGo(part, p)
		}
	}
}

func (i *instance) letGo(id string, p *heldPart) {
	if p.ended && p.out == 0 {
		delete(i.parts, id)
	}
}

// say writes one action.
func (i *instance) say(message string, values ...string) {
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

func millis(ns int64) string { return strconv.FormatFloat(float64(ns)/1e6, 'f', -1, 64) }

func bit(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

// What follows is the mixer's floor.

func (i *instance) Forward(part, searcher string, within int64) {
	if p := i.parts[part]; p != nil {
		p.out++
	}
	i.say("assign", part, searcher, millis(within))
}

func (i *instance) Cancel(part string, forward int) {
	i.say("stop_attempt", part, strconv.Itoa(forward))
}

func (i *instance) Answer(lookup string, whole bool) {
	i.say("gather_up", lookup, bit(whole))
	if l := i.lookups[lookup]; l != nil && l.fetch {
		l.fetch = false // a second step follows
		return
	}
	i.end(lookup)
}

func (i *instance) Reject(lookup string, wait int64) {
	i.say("reject", lookup, millis(wait))
	i.end(lookup)
}

func (i *instance) Fail(lookup string) {
	i.say("abort", lookup)
	i.end(lookup)
}

func (i *instance) CloseIdle(searcher string) { i.say("close_idle", searcher) }

func (i *instance) SetTimer(after int64, whose mixer.TimerHandler) {
	i.lastRef++
	i.timers[i.lastRef] = whose
	i.say("set_timer", millis(after), strconv.FormatInt(i.lastRef, 10))
}

func (i *instance) Subscribe() { i.say("watch", "1") }

func (i *instance) Note(text string) { i.say("debug", text) }
