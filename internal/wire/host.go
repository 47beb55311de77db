// Package wire hosts mixers on the simulator's line protocol: it reads batches of events, turns each
// into a call on the mixer it names, and writes what that mixer does as the batch's reply.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"nettlefold/internal/charter"
	"nettlefold/mixer"
)

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{
		in:        bufio.NewReaderSize(in, 1<<16),
		out:       bufio.NewWriterSize(out, 1<<16),
		sheets:    map[int64][]mixer.Entry{},
		instances: map[string]*instance{},
	}
	for {
		if err := h.batch(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// host holds what all instances of one process share: the pipe and the numbered lists.
type host struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int
	now       int64
	sheets    map[int64][]mixer.Entry
	instances map[string]*instance
}

// fault is a malformed line.
type fault struct {
	line               int
	message, field, is string
}

func (f *fault) Error() string {
	return fmt.Sprintf("line %d: %s: %s: %q", f.line, f.message, f.field, f.is)
}

// next reads one line; a line that the input cuts short is an error.
func (h *host) next() (string, error) {
	s, err := h.in.ReadString('\n')
	if err == io.EOF && s != "" {
		h.line++
		return "", &fault{h.line, "input", "line cut off", clip(s)}
	}
	if err != nil {
		return "", err
	}
	h.line++
	return strings.TrimSuffix(s[:len(s)-1], "\r"), nil
}

func clip(s string) string { return s[:min(len(s), 80)] }

// batch reads one batch and writes its reply.
func (h *host) batch() error {
	s, err := h.next()
	if err != nil {
		return err
	}
	f := h.split(s)
	if f.message != "mark" {
		return &fault{h.line, f.message, "a batch starts with", "mark"}
	}
	h.now = f.time("clock")
	if f.err != nil {
		return f.err
	}
	for {
		s, err := h.next()
		if err == io.EOF {
			return &fault{h.line, "input", "batch cut off before", "eof_batch"}
		}
		if err != nil {
			return err
		}
		if s == "eof_batch" {
			break
		}
		if err := h.event(h.split(s)); err != nil {
			return err
		}
	}
	h.out.WriteString("ready\n")
	return h.out.Flush()
}

// calls reads the events of an instance, each into the call it stands for.
var calls = map[string]func(*instance, *fields) func(){
	"announce": (*instance).announce,
	"req":      (*instance).take,
	"settled":  (*instance).settled,
	"tick_due": (*instance).due,
	"sampled":  (*instance).sampled,
	"dropped":  (*instance).dropped,
	"mail":     (*instance).mail,
	"started":  (*instance).started,
	"retire":   (*instance).retire,
}

// event makes one call of one line.
func (h *host) event(f *fields) error {
	switch f.message {
	case "define_list":
		return h.list(f)
	case "init":
		return h.start(f)
	}
	read := calls[f.message]
	if read == nil {
		return &fault{f.line, f.message, "unknown message", clip(f.message)}
	}
	name := f.text("Mixer")
	i := h.instances[name]
	if f.err == nil && i == nil {
		return &fault{f.line, f.message, "unknown Mixer", name}
	}
	if f.err != nil {
		return f.err
	}
	call := read(i, f)
	if f.err != nil {
		return f.err
	}
	i.guard(call)
	return nil
}

// list reads a numbered list with its rows.
func (h *host) list(f *fields) error {
	sheet, n := f.whole("Sheet"), f.whole("Items")
	if f.err == nil && (n < 0 || sheet < 0) {
		f.bad("Items", strconv.FormatInt(n, 10))
	}
	if f.err != nil {
		return f.err
	}
	var rows []mixer.Entry
	for range n {
		s, err := h.next()
		if err == io.EOF {
			return &fault{h.line, "define_list", "list cut off after rows", strconv.Itoa(len(rows))}
		}
		if err != nil {
			return err
		}
		r := h.split(s)
		if r.message != "row" {
			return &fault{r.line, r.message, "list ends early, expected", "row"}
		}
		e := mixer.Entry{Started: r.timeOr("StartTimeMs", 0), Cell: int(r.whole("Place")), Searcher: r.text("Searcher")}
		e.Size = r.float("Nominal")
		r.text("Shape")
		e.Zone = r.text("Campus")
		switch st := r.text("Status"); st {
		case "live":
			e.Status = mixer.Live
		case "quiescing":
			e.Status = mixer.Draining
		case "dead":
			e.Status = mixer.Dead
		default:
			r.bad("Status", st)
		}
		if r.err != nil {
			return r.err
		}
		rows = append(rows, e)
	}
	h.sheets[sheet] = rows
	return nil
}

// start hosts a new instance.
func (h *host) start(f *fields) error {
	name, seed := f.text("Mixer"), f.whole("Seed")
	if f.err != nil {
		return f.err
	}
	terms, err := charter.ParsePairs(f.left)
	var ch mixer.Config
	var names map[string]int
	if err == nil {
		ch, names, err = terms.MixerConfig()
	}
	if bad := (*charter.SettingError)(nil); errors.As(err, &bad) {
		return &fault{f.line, f.message, bad.Key, clip(bad.Value)}
	}
	i := &instance{
		host: h, name: name, tariffs: names, customers: terms.TenantRows(ch),
		lookups: map[string]*held{}, parts: map[string]*heldPart{}, byNumber: map[int64]*held{}, timers: map[int64]mixer.TimerHandler{},
	}
	for _, t := range ch.Tariffs {
		i.secondStep = append(i.secondStep, t.SecondStep > 0)
	}
	h.instances[name] = i
	i.guard(func() { i.m = mixer.New(h.now, ch, seed, i) })
	return nil
}

// fields reads the values of one line in order and keeps the first fault.
type fields struct {
	line    int
	message string
	left    []string
	err     error
}

func (h *host) split(s string) *fields {
	p := strings.Split(s, "\t")
	return &fields{line: h.line, message: p[0], left: p[1:]}
}

func (f *fields) bad(field, is string) {
	if f.err == nil {
		f.err = &fault{f.line, f.message, field, clip(is)}
	}
}

// text takes the next value as it stands.
func (f *fields) text(field string) string {
	if len(f.left) == 0 {
		f.bad(field, "(missing)")
		return ""
	}
	s := f.left[0]
	f.left = f.left[1:]
	if s == "" {
		f.bad(field, s)
	}
	return s
}

func (f *fields) whole(field string) int64 {
	s := f.text(field)
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.bad(field, s)
	}
	return n
}

func (f *fields) float(field string) float64 {
	s := f.text(field)
	if s == "-" {
		return 0
	}
	return f.number(field, s)
}

func (f *fields) number(field, s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || x != x || x > 1e15 || x < -1e15 {
		f.bad(field, s)
		return 0
	}
	return x
}

// time reads milliseconds as whole nanoseconds.
func (f *fields) time(field string) int64 {
	return charter.MillisToNanos(f.number(field, f.text(field)))
}

// timeOr is time for a value that may be absent.
func (f *fields) timeOr(field string, absent int64) int64 {
	s := f.text(field)
	if s == "-" {
		return absent
	}
	return charter.MillisToNanos(f.number(field, s))
}

func (f *fields) bool(field string) bool {
	s := f.text(field)
	if s != "0" && s != "1" {
		f.bad(field, s)
	}
	return s == "1"
}
