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
		lists:     map[int64][]mixer.Entry{},
		instances: map[string]*instance{},
	}
	for {
		if err := h.serveBatch(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// host holds what all instances of one process share: the pipe and the numbered lists.
type host struct {
	in         *bufio.Reader
	out        *bufio.Writer
	lineNumber int
	now        int64
	lists      map[int64][]mixer.Entry
	instances  map[string]*instance
}

// fault is a malformed line.
type protocolError struct {
	line                  int
	message, field, value string
}

func (f *protocolError) Error() string {
	return fmt.Sprintf("line %d: %s: %s: %q", f.line, f.message, f.field, f.value)
}

// next reads one line; a line that the input cuts short is an error.
func (h *host) readLine() (string, error) {
	s, err := h.in.ReadString('\n')
	if err == io.EOF && s != "" {
		h.lineNumber++
		return "", &protocolError{h.lineNumber, "input", "line cut off", truncate(s)}
	}
	if err != nil {
		return "", err
	}
	h.lineNumber++
	return strings.TrimSuffix(s[:len(s)-1], "\r"), nil
}

func truncate(s string) string { return s[:min(len(s), 80)] }

// batch reads one batch and writes its reply.
func (h *host) serveBatch() error {
	s, err := h.readLine()
	if err != nil {
		return err
	}
	f := h.splitLine(s)
	if f.message != "mark" {
		return &protocolError{h.lineNumber, f.message, "a batch starts with", "mark"}
	}
	h.now = f.nanos("clock")
	if f.err != nil {
		return f.err
	}
	for {
		s, err := h.readLine()
		if err == io.EOF {
			return &protocolError{h.lineNumber, "input", "batch cut off before", "eof_batch"}
		}
		if err != nil {
			return err
		}
		if s == "eof_batch" {
			break
		}
		if err := h.handleEvent(h.splitLine(s)); err != nil {
			return err
		}
	}
	h.out.WriteString("ready\n")
	return h.out.Flush()
}

// calls reads the events of an instance, each into the call it stands for.
var eventParsers = map[string]func(*instance, *fieldReader) func(){
	"announce": (*instance).parseAnnounce,
	"req":      (*instance).parseRequest,
	"settled":  (*instance).parseSettled,
	"tick_due": (*instance).parseTickDue,
	"sampled":  (*instance).parseSampled,
	"dropped":  (*instance).parseDropped,
	"mail":     (*instance).parseMail,
	"started":  (*instance).parseStarted,
	"retire":   (*instance).parseRetire,
}

// event makes one call of one line.
func (h *host) handleEvent(f *fieldReader) error {
	switch f.message {
	case "define_list":
		return h.defineList(f)
	case "init":
		return h.startInstance(f)
	}
	read := eventParsers[f.message]
	if read == nil {
		return &protocolError{f.line, f.message, "unknown message", truncate(f.message)}
	}
	name := f.text("Mixer")
	i := h.instances[name]
	if f.err == nil && i == nil {
		return &protocolError{f.line, f.message, "unknown Mixer", name}
	}
	if f.err != nil {
		return f.err
	}
	call := read(i, f)
	if f.err != nil {
		return f.err
	}
	i.callMixer(call)
	return nil
}

// list reads a numbered list with its rows.
func (h *host) defineList(f *fieldReader) error {
	sheet, n := f.integer("Sheet"), f.integer("Items")
	if f.err == nil && (n < 0 || sheet < 0) {
		f.reject("Items", strconv.FormatInt(n, 10))
	}
	if f.err != nil {
		return f.err
	}
	var rows []mixer.Entry
	for range n {
		s, err := h.readLine()
		if err == io.EOF {
			return &protocolError{h.lineNumber, "define_list", "list cut off after rows", strconv.Itoa(len(rows))}
		}
		if err != nil {
			return err
		}
		r := h.splitLine(s)
		if r.message != "row" {
			return &protocolError{r.line, r.message, "list ends early, expected", "row"}
		}
		e := mixer.Entry{Started: r.nanosOr("StartTimeMs", 0), Cell: int(r.integer("Place")), Searcher: r.text("Searcher")}
		e.Size = r.optionalFloat("Nominal")
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
			r.reject("Status", st)
		}
		if r.err != nil {
			return r.err
		}
		rows = append(rows, e)
	}
	h.lists[sheet] = rows
	return nil
}

// start hosts a new instance.
func (h *host) startInstance(f *fieldReader) error {
	name, seed := f.text("Mixer"), f.integer("Seed")
	if f.err != nil {
		return f.err
	}
	terms, err := charter.ParsePairs(f.remaining)
	var ch mixer.Config
	var names map[string]int
	if err == nil {
		ch, names, err = terms.MixerConfig()
	}
	if bad := (*charter.SettingError)(nil); errors.As(err, &bad) {
		return &protocolError{f.line, f.message, bad.Key, truncate(bad.Value)}
	}
	i := &instance{
		host: h, name: name, profiles: names, tenants: terms.TenantRows(ch),
		lookups: map[string]*pendingLookup{}, parts: map[string]*pendingPart{}, byNumber: map[int64]*pendingLookup{}, timers: map[int64]mixer.TimerHandler{},
	}
	for _, t := range ch.Tariffs {
		i.hasSecondStep = append(i.hasSecondStep, t.SecondStep > 0)
	}
	h.instances[name] = i
	i.callMixer(func() { i.mixer = mixer.New(h.now, ch, seed, i) })
	return nil
}

// fields reads the values of one line in order and keeps the first fault.
type fieldReader struct {
	line      int
	message   string
	remaining []string
	err       error
}

func (h *host) splitLine(s string) *fieldReader {
	p := strings.Split(s, "\t")
	return &fieldReader{line: h.lineNumber, message: p[0], remaining: p[1:]}
}

func (f *fieldReader) reject(field, is string) {
	if f.err == nil {
		f.err = &protocolError{f.line, f.message, field, truncate(is)}
	}
}

// text takes the next value as it stands.
func (f *fieldReader) text(field string) string {
	if len(f.remaining) == 0 {
		f.reject(field, "(missing)")
		return ""
	}
	s := f.remaining[0]
	f.remaining = f.remaining[1:]
	if s == "" {
		f.reject(field, s)
	}
	return s
}

func (f *fieldReader) integer(field string) int64 {
	s := f.text(field)
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.reject(field, s)
	}
	return n
}

func (f *fieldReader) optionalFloat(field string) float64 {
	s := f.text(field)
	if s == "-" {
		return 0
	}
	return f.parseFloat(field, s)
}

func (f *fieldReader) parseFloat(field, s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || x != x || x > 1e15 || x < -1e15 {
		f.reject(field, s)
		return 0
	}
	return x
}

// time reads milliseconds as whole nanoseconds.
func (f *fieldReader) nanos(field string) int64 {
	return charter.MillisToNanos(f.parseFloat(field, f.text(field)))
}

// timeOr is time for a value that may be absent.
func (f *fieldReader) nanosOr(field string, absent int64) int64 {
	s := f.text(field)
	if s == "-" {
		return absent
	}
	return charter.MillisToNanos(f.parseFloat(field, s))
}

func (f *fieldReader) boolean(field string) bool {
	s := f.text(field)
	if s != "0" && s != "1" {
		f.reject(field, s)
	}
	return s == "1"
}
