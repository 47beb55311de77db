// Package wire runs mixers behind the simulator's line protocol. It reads batches of events, turns each event
// into a call on the mixer that it names, and writes the actions of the mixers as the reply to the batch.
//
// A line is a message name followed by its values, separated by tabs. Times are in milliseconds. Some names of
// the protocol differ from those used here:
//
//	Sheet, Items       number of a membership list, and of its rows
//	Place, Campus      cell and zone of a backend
//	Nominal            size of a backend
//	Corr               ID of a lookup or of a part
//	WholeNo            number of a lookup, by which its parts refer to it
//	Grade, Realm       request profile, tenant
//	Copy, Over         number of an attempt; no further attempt is possible
//	Gauge              load report
//	give_in            the mixer has failed
//	gather_up, abort   answer a lookup; end it without an answer
//
// Package mixer uses other names too: a request profile is a Tariff there, a tenant a Customer, a shard a
// Slice, a backend a Searcher, and an attempt a forward.
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

// Serve reads batches from in and writes a reply to each to out until in ends. It returns an error if a line is
// malformed or reading or writing fails.
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

// host is the state that all instances of one process share.
type host struct {
	in         *bufio.Reader
	out        *bufio.Writer
	lineNumber int                     // of the line read last, from 1
	now        int64                   // ns, the simulator's clock as of the current batch
	lists      map[int64][]mixer.Entry // membership lists by number
	instances  map[string]*instance    // by name
}

// protocolError reports a malformed line. field is the name of the field or setting whose value is invalid; for
// any other fault it describes the fault, and value the text that it concerns.
type protocolError struct {
	line                  int
	message, field, value string
}

func (e *protocolError) Error() string {
	return fmt.Sprintf("line %d: %s: %s: %q", e.line, e.message, e.field, e.value)
}

// readLine reads one line without its terminator. A last line without a terminator is an error.
func (h *host) readLine() (string, error) {
	s, err := h.in.ReadString('\n')
	if err == io.EOF && s != "" {
		h.lineNumber++
		return "", &protocolError{h.lineNumber, "input", "line truncated", truncate(s)}
	}
	if err != nil {
		return "", err
	}
	h.lineNumber++
	return strings.TrimSuffix(s[:len(s)-1], "\r"), nil
}

// truncate shortens a value for an error message.
func truncate(s string) string { return s[:min(len(s), 80)] }

// serveBatch reads one batch and writes its reply. It returns io.EOF if the input has ended.
func (h *host) serveBatch() error {
	s, err := h.readLine()
	if err != nil {
		return err
	}
	f := h.splitLine(s)
	if f.message != "mark" {
		return &protocolError{h.lineNumber, f.message, "batch must start with", "mark"}
	}
	h.now = f.nanos("clock")
	if f.err != nil {
		return f.err
	}
	for {
		s, err := h.readLine()
		if err == io.EOF {
			return &protocolError{h.lineNumber, "input", "batch truncated before", "eof_batch"}
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

// eventParsers parse the events for an instance by message name. Each returns the call on the mixer that the
// event stands for, to be made only if the whole line is valid.
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

// handleEvent handles one line of a batch.
func (h *host) handleEvent(f *fieldReader) error {
	switch f.message {
	case "define_list":
		return h.defineList(f)
	case "init":
		return h.startInstance(f)
	}
	parse := eventParsers[f.message]
	if parse == nil {
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
	call := parse(i, f)
	if f.err != nil {
		return f.err
	}
	i.callMixer(call)
	return nil
}

// defineList reads a numbered membership list and its rows.
func (h *host) defineList(f *fieldReader) error {
	number, n := f.integer("Sheet"), f.integer("Items")
	if f.err == nil && (n < 0 || number < 0) {
		f.reject("Items", strconv.FormatInt(n, 10))
	}
	if f.err != nil {
		return f.err
	}
	var rows []mixer.Entry
	for range n {
		s, err := h.readLine()
		if err == io.EOF {
			return &protocolError{h.lineNumber, "define_list", "list truncated after rows", strconv.Itoa(len(rows))}
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
		switch status := r.text("Status"); status {
		case "live":
			e.Status = mixer.Live
		case "quiescing":
			e.Status = mixer.Draining
		case "dead":
			e.Status = mixer.Dead
		default:
			r.reject("Status", status)
		}
		if r.err != nil {
			return r.err
		}
		rows = append(rows, e)
	}
	h.lists[number] = rows
	return nil
}

// startInstance starts the instance that an init message describes.
func (h *host) startInstance(f *fieldReader) error {
	name, seed := f.text("Mixer"), f.integer("Seed")
	if f.err != nil {
		return f.err
	}
	settings, err := charter.ParsePairs(f.remaining)
	var config mixer.Config
	var profiles map[string]int
	if err == nil {
		config, profiles, err = settings.MixerConfig()
	}
	if invalid := (*charter.SettingError)(nil); errors.As(err, &invalid) {
		return &protocolError{f.line, f.message, invalid.Key, truncate(invalid.Value)}
	}
	i := &instance{
		host: h, name: name, profiles: profiles, tenants: settings.TenantRows(config),
		lookups: map[string]*pendingLookup{}, parts: map[string]*pendingPart{},
		byNumber: map[int64]*pendingLookup{}, timers: map[int64]mixer.TimerHandler{},
	}
	for _, profile := range config.Tariffs {
		i.hasSecondStep = append(i.hasSecondStep, profile.SecondStep > 0)
	}
	h.instances[name] = i
	i.callMixer(func() { i.mixer = mixer.New(h.now, config, seed, i) })
	return nil
}

// fieldReader reads the values of one line in order and keeps the first error.
type fieldReader struct {
	line      int
	message   string
	remaining []string
	err       error
}

// splitLine returns a reader of the values of a line.
func (h *host) splitLine(s string) *fieldReader {
	values := strings.Split(s, "\t")
	return &fieldReader{line: h.lineNumber, message: values[0], remaining: values[1:]}
}

// reject records an invalid value unless an earlier one has been recorded.
func (f *fieldReader) reject(field, value string) {
	if f.err == nil {
		f.err = &protocolError{f.line, f.message, field, truncate(value)}
	}
}

// text returns the next value, which must not be empty.
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

// integer returns the next value, a whole number.
func (f *fieldReader) integer(field string) int64 {
	s := f.text(field)
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.reject(field, s)
	}
	return n
}

// optionalFloat returns the next value, a number; "-" is 0.
func (f *fieldReader) optionalFloat(field string) float64 {
	s := f.text(field)
	if s == "-" {
		return 0
	}
	return f.parseFloat(field, s)
}

// parseFloat parses a number of at most 1e15 in magnitude. It returns 0 for an invalid value.
func (f *fieldReader) parseFloat(field, s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || x != x || x > 1e15 || x < -1e15 {
		f.reject(field, s)
		return 0
	}
	return x
}

// nanos returns the next value, a time or duration in milliseconds, as nanoseconds.
func (f *fieldReader) nanos(field string) int64 {
	return charter.MillisToNanos(f.parseFloat(field, f.text(field)))
}

// nanosOr is nanos for an optional value; "-" gives absent.
func (f *fieldReader) nanosOr(field string, absent int64) int64 {
	s := f.text(field)
	if s == "-" {
		return absent
	}
	return charter.MillisToNanos(f.parseFloat(field, s))
}

// boolean returns the next value, 0 or 1, as a flag.
func (f *fieldReader) boolean(field string) bool {
	s := f.text(field)
	if s != "0" && s != "1" {
		f.reject(field, s)
	}
	return s == "1"
}
