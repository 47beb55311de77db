// Package settings reads nettlefold's own settings, an XML file whose schema is deploy/nettlefold.xsd. A file is read whole
// or refused whole, with the line, the element and the value at fault; what the schema does not know is refused too.
package settings

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"nettlefold/internal/conns"
)

// Namespace is that of the settings' elements.
const Namespace = "urn:nettlefold:settings:1"

const maxFile = 1 << 20 // bytes

// Settings are what an installation sets of nettlefold's own.
type Settings struct {
	Logging Logging
	Admin   string   // where to listen for metrics and questions, "": nowhere
	Store   *Store   // nil: none, and the mixer is alone
	Learnt  string   // file in which what is learnt is kept from one process to the next, "": it is not
	Fleet   *Fleet   // nil: none, and the mixer talks to no other
	Control *Control // nil: none, and no settings are taken in flight
	Subset  *Subset  // nil: none, and all searchers are used

	Connections conns.Budget // to searchers

	fleetAt int // line of the fleet
}

// Logging says how the log is written.
type Logging struct {
	JSON  bool
	Level slog.Level
}

// Store says where the shared store is.
type Store struct {
	Address, Site string
	Enabled       bool
	Timeout       time.Duration
	Protocol      int
	User          string
	PasswordFile  string // "": none
	TLS           *TLS   // nil: plain
}

// TLS says whom to trust and who to be.
type TLS struct{ Authorities, Server, Certificate, Key string }

// Differs names the elements that other has otherwise, but for whether the store is used.
func (s Settings) Differs(other Settings) (names []string) {
	if s.Logging != other.Logging {
		names = append(names, "logging")
	}
	if s.Admin != other.Admin {
		names = append(names, "listeners/admin")
	}
	if s.Learnt != other.Learnt {
		names = append(names, "learnt")
	}
	plain := func(st *Store) (all Store, t TLS) {
		if st != nil {
			all = *st
			if st.TLS != nil {
				t = *st.TLS
			}
		}
		all.TLS, all.Enabled = nil, false
		return all, t
	}
	a, at := plain(s.Store)
	b, bt := plain(other.Store)
	if a != b || at != bt {
		names = append(names, "store")
	}
	if !reflect.DeepEqual(s.Fleet, other.Fleet) {
		names = append(names, "fleet")
	}
	if !reflect.DeepEqual(s.Control, other.Control) {
		names = append(names, "control")
	}
	if s.Connections != other.Connections {
		names = append(names, "connections")
	}
	if !reflect.DeepEqual(s.Subset, other.Subset) {
		names = append(names, "subset")
	}
	return names
}

// Fault is what is wrong with a file and where.
type Fault struct {
	Line    int
	Element string // path of it
	What    string
}

func (f *Fault) Error() string { return fmt.Sprintf("line %d: %s: %s", f.Line, f.Element, f.What) }

// Forms of values, as in the schema.
const (
	port    = `([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])`
	address = `([A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):` + port
	name    = `[A-Za-z0-9._-]{1,64}`
	path    = `[!-~]{1,1000}[!-~]{0,24}` // 1,024; more than 1,000 of one take two
)

// element is what may stand in a file: attributes with their forms, and elements within, each at most once unless it is many.
type element struct {
	attributes map[string]attribute
	within     map[string]*element
	many       bool
	whole      func(s *Settings, line int) error // judges it when all of it is read
}

type attribute struct {
	form *regexp.Regexp
	need bool
	set  func(*Settings, string)
}

func form(text string) *regexp.Regexp { return regexp.MustCompile(`^(?:` + text + `)$`) }

func need(text string, set func(*Settings, string)) attribute {
	return attribute{form(text), true, set}
}
func may(text string, set func(*Settings, string)) attribute {
	return attribute{form(text), false, set}
}

// tree is the schema as the program reads it. It is made when a file is read: most mixers have none.
func tree() *element {
	return &element{within: map[string]*element{
		"logging": {attributes: map[string]attribute{
			"format": may("text|json", func(s *Settings, v string) { s.Logging.JSON = v == "json" }),
			"level":  may("debug|info|warn|error", func(s *Settings, v string) { s.Logging.Level.UnmarshalText([]byte(v)) }),
		}},
		"listeners": {within: map[string]*element{
			"admin": {attributes: map[string]attribute{"address": need(address, func(s *Settings, v string) { s.Admin = v })}},
		}},
		"learnt":  {attributes: map[string]attribute{"file": need(path, func(s *Settings, v string) { s.Learnt = v })}},
		"fleet":   fleetElement(),
		"control": controlElement(),
		"subset":  subsetElement(),

		"connections": connectionsElement(),
		"store": {
			attributes: map[string]attribute{
				"address":    need(address, func(s *Settings, v string) { s.store().Address = v }),
				"site":       need(name, func(s *Settings, v string) { s.store().Site = v }),
				"enabled":    may("yes|no", func(s *Settings, v string) { s.store().Enabled = v == "yes" }),
				"timeout-ms": may("[2-9][0-9]|1[0-9]{2}|200", func(s *Settings, v string) { s.store().Timeout = millis(v) }),
				"protocol":   may("2|3", func(s *Settings, v string) { s.store().Protocol, _ = strconv.Atoi(v) }),
			},
			within: map[string]*element{
				"login": {attributes: map[string]attribute{
					"user":          may(name, func(s *Settings, v string) { s.store().User = v }),
					"password-file": need(path, func(s *Settings, v string) { s.store().PasswordFile = v }),
				}},
				"tls": {
					attributes: map[string]attribute{
						"authorities": may(path, func(s *Settings, v string) { s.store().tls().Authorities = v }),
						"server":      may(name, func(s *Settings, v string) { s.store().tls().Server = v }),
					},
					within: map[string]*element{"identity": {attributes: map[string]attribute{
						"certificate": need(path, func(s *Settings, v string) { s.store().tls().Certificate = v }),
						"key":         need(path, func(s *Settings, v string) { s.store().tls().Key = v }),
					}}},
				},
			},
		},
	}}
}

func millis(v string) time.Duration {
	n, _ := strconv.Atoi(v)
	return time.Duration(n) * time.Millisecond
}

func (s *Settings) store() *Store {
	if s.Store == nil {
		s.Store = &Store{Enabled: true, Timeout: 200 * time.Millisecond, Protocol: 3}
	}
	return s.Store
}

func (s *Store) tls() *TLS {
	if s.TLS == nil {
		s.TLS = &TLS{}
	}
	return s.TLS
}

// Load reads a file; without a path it gives the defaults.
func Load(path string) (Settings, error) {
	if path == "" {
		return Settings{}, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return Settings{}, err
	}
	if len(raw) > maxFile {
		return Settings{}, fmt.Errorf("%s: over %d bytes", path, maxFile)
	}
	s, err := Read(raw)
	if err == nil {
		err = s.quorum()
	}
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Read reads a document. Its errors are Faults.
func Read(raw []byte) (Settings, error) {
	d := xml.NewDecoder(bytes.NewReader(raw))
	d.Entity = nil // only those of XML itself
	var s Settings
	r := reader{d: d, out: &s}
	if err := r.document(); err != nil {
		line, _ := d.InputPos()
		var f *Fault
		if !errors.As(err, &f) {
			f = &Fault{Element: strings.Join(r.path, "/"), What: err.Error()}
			if f.Element == "" {
				f.Element = "document"
			}
		}
		f.Line = line
		return Settings{}, f
	}
	return s, nil
}

type reader struct {
	d    *xml.Decoder
	out  *Settings
	path []string
}

func (r *reader) fault(format string, args ...any) error {
	at := strings.Join(r.path, "/")
	if at == "" {
		at = "document"
	}
	return &Fault{Element: at, What: fmt.Sprintf(format, args...)}
}

// document reads one root element and nothing else.
func (r *reader) document() error {
	for seen := false; ; {
		t, err := r.d.Token()
		if err == io.EOF {
			if !seen {
				return r.fault("no element nettlefold")
			}
			return nil
		}
		if err != nil {
			return err
		}
		switch t := t.(type) {
		case xml.StartElement:
			if seen {
				return r.fault("a second element: %s", clip(t.Name.Local))
			}
			if t.Name.Local != "nettlefold" || t.Name.Space != Namespace {
				return r.fault("unknown element %q of namespace %q, want nettlefold of %q", clip(t.Name.Local), clip(t.Name.Space), Namespace)
			}
			seen = true
			if err := r.element(t, tree()); err != nil {
				return err
			}
		case xml.Directive:
			return r.fault("a document type is not taken")
		case xml.CharData:
			if len(bytes.TrimSpace(t)) > 0 {
				return r.fault("text %q", clip(string(t)))
			}
		}
	}
}

// element reads one element whole.
func (r *reader) element(start xml.StartElement, e *element) error {
	r.path = append(r.path, start.Name.Local)
	has := map[string]bool{}
	for _, a := range start.Attr {
		if a.Name.Local == "xmlns" && a.Name.Space == "" || a.Name.Space == "xmlns" {
			continue
		}
		want, ok := e.attributes[a.Name.Local]
		if !ok || a.Name.Space != "" {
			return r.fault("unknown attribute %q", clip(a.Name.Local))
		}
		if has[a.Name.Local] {
			return r.fault("attribute %s stands twice", a.Name.Local)
		}
		if !want.form.MatchString(a.Value) || strings.Contains(a.Value, "\n") {
			return r.fault("%s: %q", a.Name.Local, clip(a.Value))
		}
		has[a.Name.Local] = true
		want.set(r.out, a.Value)
	}
	for name, want := range e.attributes {
		if want.need && !has[name] {
			return r.fault("%s: missing", name)
		}
	}
	within := map[string]bool{}
	for {
		t, err := r.d.Token()
		if err != nil {
			return err
		}
		switch t := t.(type) {
		case xml.StartElement:
			inner := e.within[t.Name.Local]
			if inner == nil || t.Name.Space != Namespace {
				return r.fault("unknown element %q", clip(t.Name.Local))
			}
			if within[t.Name.Local] && !inner.many {
				return r.fault("element %s stands twice", t.Name.Local)
			}
			within[t.Name.Local] = true
			if t.Name.Local == "tls" {
				r.out.store().tls()
			}
			if err := r.element(t, inner); err != nil {
				return err
			}
		case xml.EndElement:
			if e.whole != nil {
				line, _ := r.d.InputPos()
				if err := e.whole(r.out, line); err != nil {
					return r.fault("%v", err)
				}
			}
			r.path = r.path[:len(r.path)-1]
			return nil
		case xml.CharData:
			if len(bytes.TrimSpace(t)) > 0 || len(e.within) == 0 && len(t) > 0 {
				return r.fault("text %q", clip(string(t)))
			}
		case xml.Directive:
			return r.fault("a document type is not taken")
		}
	}
}

func clip(s string) string { return s[:min(len(s), 80)] }
