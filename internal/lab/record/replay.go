package record

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"nettlefold/mixer"
)

// Difference is the first call of a transcript during which a module did something else than was recorded.
type Difference struct {
	Line     int      // of the call
	Before   []string // the last lines before it
	Call     string
	Recorded []string // what the module did then
	Replayed []string // and what it does now
}

// context is how many lines before a difference are shown.
const context = 8

func (d *Difference) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "line %d: the module does something else than was recorded\n", d.Line)
	for _, line := range d.Before {
		fmt.Fprintf(&b, "       %s\n", line)
	}
	fmt.Fprintf(&b, "CALL   %s\n", d.Call)
	same := 0
	for same < min(len(d.Recorded), len(d.Replayed)) && d.Recorded[same] == d.Replayed[same] {
		fmt.Fprintf(&b, "       %s\n", d.Recorded[same])
		same++
	}
	for _, line := range d.Recorded[same:] {
		fmt.Fprintf(&b, "before %s\n", line)
	}
	for _, line := range d.Replayed[same:] {
		fmt.Fprintf(&b, "now    %s\n", line)
	}
	return b.String()
}

// Replay makes the calls of a transcript again, to a module of this build, and compares all that it does. It gives how many lines
// were the same; the error is a *Difference where the module differs, and another where the transcript can't be read.
func Replay(in io.Reader) (same int, err error) {
	r := &replay{timers: map[int]mixer.TimerHandler{}, queries: map[int]*Lookup{}}
	r.t = NewTranscript(&r.now)
	s := bufio.NewScanner(in)
	s.Buffer(nil, 64<<20)
	var group, before []string // a call and what was done during it; what came before it
	check := func() error {
		if len(group) == 0 {
			return nil
		}
		if err := r.compare(same+1, group, before); err != nil {
			return err
		}
		same += len(group)
		before = append(before, group...)
		before = before[max(0, len(before)-context):]
		group = group[:0]
		return nil
	}
	for s.Scan() {
		if line := s.Text(); !strings.HasPrefix(line, "\t") {
			if err := check(); err != nil {
				return same, err
			}
			group = append(group, line)
		} else if len(group) == 0 {
			return same, fmt.Errorf("line 1: no call: %.80q", line)
		} else {
			group = append(group, line)
		}
	}
	if err := s.Err(); err != nil {
		return same, err
	}
	return same, check()
}

// replay is the module to which a transcript's calls are made again, and its floor.
type replay struct {
	t       *Transcript
	now     bytes.Buffer // what is written of the call at hand
	m       *Mixer
	timers  map[int]mixer.TimerHandler // by number, not yet due
	queries map[int]*Lookup            // by number
}

func (r *replay) compare(line int, group, before []string) error {
	r.now.Reset()
	call, err := r.read(group[0])
	if err != nil {
		return fmt.Errorf("line %d: %w: %.200q", line, err, group[0])
	}
	r.make(call)
	now := strings.Split(strings.TrimSuffix(r.now.String(), "\n"), "\n")
	if now[0] != group[0] {
		return fmt.Errorf("line %d: %.200q is read as %.200q", line, group[0], now[0])
	}
	for i := range max(len(now), len(group)) {
		if i >= len(now) || i >= len(group) || now[i] != group[i] {
			return &Difference{line, before, group[0], append([]string(nil), group[1:]...), now[1:]}
		}
	}
	return nil
}

// arguments reads the values of a call in order and keeps the first fault.
type arguments struct {
	left []string
	err  error
}

func (a *arguments) next() string {
	if len(a.left) == 0 {
		a.keep(fmt.Errorf("a value is missing"))
		return ""
	}
	v := a.left[0]
	a.left = a.left[1:]
	return v
}

func (a *arguments) keep(err error) {
	if a.err == nil {
		a.err = err
	}
}

func (a *arguments) time() int64 {
	n, err := strconv.ParseInt(a.next(), 10, 64)
	a.keep(err)
	return n
}

func (a *arguments) int() int { return int(a.time()) }

func (a *arguments) bool() bool {
	b, err := strconv.ParseBool(a.next())
	a.keep(err)
	return b
}

func structure[T any](a *arguments) (v T) {
	a.keep(json.Unmarshal([]byte(a.next()), &v))
	return v
}

// make makes one call. A module that fails in it has done that.
func (r *replay) make(call func()) {
	defer func() {
		if failed := recover(); failed != nil {
			r.t.did("panic", strconv.Quote(fmt.Sprint(failed)))
		}
	}()
	call()
}

// read reads a call and gives what makes it.
func (r *replay) read(line string) (func(), error) {
	values := strings.Split(line, "\t")
	if (r.m == nil) != (values[0] == "new") {
		return nil, fmt.Errorf("a transcript begins with its one call of new")
	}
	a := &arguments{left: values[1:]}
	call := r.readAs(values[0], a)
	if len(a.left) > 0 {
		a.keep(fmt.Errorf("%d values too many", len(a.left)))
	}
	return call, a.err
}

func (r *replay) readAs(name string, a *arguments) func() {
	now := a.time()
	switch name {
	case "new":
		seed, c := a.time(), structure[mixer.Config](a)
		return func() { r.m = New(now, c, seed, r, r.t) }
	case "listed":
		full, rows := a.bool(), structure[[]mixer.Entry](a)
		return func() { r.m.Listed(now, rows, full) }
	case "refused":
		return func() { r.m.ListRefused(now) }
	case "told":
		words := structure[[]mixer.PeerReport](a)
		return func() { r.m.Told(now, words) }
	case "hold":
		return func() { r.m.Hold(now) }
	case "adopt":
		c := structure[mixer.Config](a)
		return func() { r.m.Adopt(now, c) }
	case "ask":
		return func() { r.m.HandleTimer(now) }
	case "tell":
		within := a.time()
		return func() { r.m.Tell(now, within, func(mixer.Observation) {}) }
	case "standing":
		searcher := a.next()
		return func() { r.m.Standing(now, searcher) }
	case "keep":
		return func() { r.m.Keep(now) }
	case "resume":
		k := structure[mixer.Snapshot](a)
		return func() { r.m.Resume(now, k) }
	case "take":
		ask := structure[mixer.LookupRequest](a)
		return func() {
			l := r.m.Take(now, ask)
			r.queries[l.number] = l
		}
	case "due":
		number := a.int()
		whose := r.timers[number]
		if whose == nil {
			a.keep(fmt.Errorf("no timer %d is set", number))
		}
		return func() {
			delete(r.timers, number)
			whose.HandleTimer(now)
		}
	case "part", "outcome", "gone":
		return r.readOf(name, now, a)
	}
	a.keep(fmt.Errorf("no such call"))
	return nil
}

// readOf is readAs for the calls of a query's handle.
func (r *replay) readOf(name string, now int64, a *arguments) func() {
	number := a.int()
	l := r.queries[number]
	if l == nil {
		a.keep(fmt.Errorf("no handle %d", number))
	}
	switch name {
	case "part":
		p := structure[mixer.PartRequest](a)
		return func() { l.AddPart(now, p) }
	case "outcome":
		i, copy, o, took, over := a.int(), a.int(), mixer.Outcome(a.int()), a.time(), a.bool()
		return func() { l.Outcome(now, i, copy, o, took, over) }
	}
	return func() { l.Gone(now) }
}

// Timer keeps what the transcript will call; the other actions are only written down.
func (r *replay) SetTimer(_ int64, whose mixer.TimerHandler) { r.timers[whose.(*due).number] = whose }

func (r *replay) Forward(string, string, int64) {}
func (r *replay) Cancel(string, int)            {}
func (r *replay) Answer(string, bool)           {}
func (r *replay) Reject(string, int64)          {}
func (r *replay) Fail(string)                   {}
func (r *replay) CloseIdle(string)              {}
func (r *replay) Subscribe()                    {}
func (r *replay) Note(string)                   {}
