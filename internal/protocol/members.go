package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/mixer"
)

// member is one of the list as it is written. It has no name of its own, so that faults are told as those of a list read whole.
type member = struct {
	Name    string          `json:"name"`
	Address string          `json:"address"`
	Zone    string          `json:"zone"`
	Cell    *int            `json:"group"`
	Status  string          `json:"status"`
	Since   float64         `json:"since_ms"`
	Size    json.RawMessage `json:"weight"`
}

// list is a message as it is written. Its members are not kept: each is made a Member as it is read.
type list struct {
	Index    *int64   `json:"index"`
	Snapshot bool     `json:"snapshot"`
	Members  []member `json:"endpoints"`
}

// misfit is the error of a message that is sound JSON, and no list.
type misfit struct{ error }

func (e *misfit) Unwrap() error { return e.error }

// passed is a value that is not looked at.
type passed struct{}

func (*passed) UnmarshalJSON([]byte) error { return nil }

// message is a message of the list on its way in.
type message struct {
	in    *json.Decoder
	list  list
	fault *json.UnmarshalTypeError // the first, told once the message is whole

	met     bool // its members, once
	out     List
	full    [][]Member // read, in pieces of piece
	members []Member   // the last piece
	bad     []rejected

	merged bool     // its members came again: list.Members has what they add up to
	was    []Member // by place, as read the first time
}

// rejected is a member that is left out, and its place.
type rejected struct {
	at int
	member
}

// piece is how many members are gathered at once: a slice that grew over all of them would throw away five times what it keeps.
const piece = 512

// readList reads one message of the list from a stream, member by member; it holds one member's text, and no more of the message. A misfit
// ends it once the message has come whole, anything else at once; io.EOF is the end between two messages.
//
// It takes and refuses what json.Unmarshal into a list does: keys in any case and order, the last of several, null for nothing.
// Members that come twice are laid over each other by place, as there. It alone takes a value nested 10,000 deep less two.
func readList(in *json.Decoder) (List, error) {
	in.UseNumber()
	m := message{in: in}
	first, err := in.Token()
	if err != nil {
		return List{}, err
	}
	if err := m.read(first); err == io.EOF {
		return List{}, io.ErrUnexpectedEOF
	} else if err != nil {
		return List{}, err
	}
	if m.fault != nil {
		return List{}, &misfit{m.fault}
	}
	if m.list.Index == nil {
		return List{}, &misfit{errors.New("index: missing")}
	}
	m.out.Version, m.out.Whole = *m.list.Index, m.list.Snapshot
	m.out.Members = m.members
	if len(m.full) > 0 {
		m.out.Members = slices.Concat(append(m.full, m.members)...)
	}
	return m.out, nil
}

// read reads a message from its first token on.
func (m *message) read(first json.Token) error {
	if first != json.Delim('{') {
		if first == nil {
			return nil // null is a list without anything
		}
		return m.other(first, reflect.TypeFor[list](), "", "")
	}
	for m.in.More() {
		key, err := m.in.Token()
		if err != nil {
			return err
		}
		name, _ := key.(string)
		switch {
		case strings.EqualFold(name, "index"):
			err = m.value(&m.list.Index, "index")
		case strings.EqualFold(name, "snapshot"):
			err = m.value(&m.list.Snapshot, "snapshot")
		case !strings.EqualFold(name, "endpoints"):
			err = m.in.Decode(new(passed))
		case !m.met:
			m.met = true
			err = m.first()
		default:
			err = m.again()
		}
		if err != nil {
			return err
		}
	}
	if _, err := m.in.Token(); err != nil || !m.merged {
		return err
	}
	m.finish()
	return nil
}

// value reads one value of the message. One of another type is noted and passed over, as json.Unmarshal does.
func (m *message) value(to any, field string) error {
	err := m.in.Decode(to)
	if e := (*json.UnmarshalTypeError)(nil); errors.As(err, &e) {
		if e.Field == "" {
			e.Struct, e.Field = "list", field
		} else {
			e.Field = field + "." + e.Field
		}
		m.note(e)
		return nil
	}
	return err
}

func (m *message) note(e *json.UnmarshalTypeError) {
	if m.fault == nil {
		m.fault = e
	}
}

// other passes over a value that should be of another type and has begun with a token.
func (m *message) other(first json.Token, want reflect.Type, of, field string) error {
	e := &json.UnmarshalTypeError{Type: want, Struct: of, Field: field}
	m.note(e)
	switch first := first.(type) {
	case json.Delim:
		e.Value = "array"
		if first == '{' {
			e.Value = "object"
		}
		for m.in.More() {
			if first == '{' {
				if _, err := m.in.Token(); err != nil {
					return err
				}
			}
			if err := m.in.Decode(new(passed)); err != nil {
				return err
			}
		}
		_, err := m.in.Token()
		return err
	case string:
		e.Value = "string"
	case bool:
		e.Value = "bool"
	default:
		e.Value = "number"
	}
	return nil
}

// first reads the members as they come.
func (m *message) first() error {
	switch begin, err := m.in.Token(); {
	case err != nil:
		return err
	case begin == nil:
		return nil
	case begin != json.Delim('['):
		return m.other(begin, reflect.TypeFor[[]member](), "list", "endpoints")
	}
	var one member
	for at := 0; m.in.More(); at++ {
		one = member{Size: one.Size[:0]}
		if err := m.value(&one, "endpoints"); err != nil {
			return err
		}
		if !m.take(at, one) {
			out := one
			out.Size = slices.Clone(one.Size) // the next member's comes in its place
			m.bad = append(m.bad, rejected{at, out})
		}
	}
	_, err := m.in.Token()
	return err
}

// take keeps what a member is, or why it is left out.
func (m *message) take(at int, one member) (taken bool) {
	e, fault := memberOf(one)
	if fault != "" {
		m.out.Skipped = append(m.out.Skipped, Skipped{one.Name, fmt.Sprintf("endpoints[%d]: %s", at, fault)})
		return false
	}
	m.add(e)
	return true
}

func (m *message) add(e Member) {
	if len(m.members) == piece {
		m.full, m.members = append(m.full, m.members), make([]Member, 0, piece)
	}
	m.members = append(m.members, e)
}

// asRead stands in a member that is merged with another for the size that was read before; the time it began is no number then.
const asRead = "-"

// again reads members that come after others, over those: by place, what is not told stays. What was read of the first is
// written as it was, but for what is no longer known to the last digit.
func (m *message) again() error {
	if !m.merged {
		m.merged = true
		all := slices.Concat(append(m.full, m.members)...)
		for at := 0; len(all) > 0 || len(m.bad) > 0; at++ {
			if len(m.bad) > 0 && m.bad[0].at == at {
				m.list.Members, m.was = append(m.list.Members, m.bad[0].member), append(m.was, Member{})
				m.bad = m.bad[1:]
				continue
			}
			e := all[0]
			all, m.was = all[1:], append(m.was, e)
			m.list.Members = append(m.list.Members, member{Name: e.Searcher, Address: e.Address, Zone: e.Zone, Cell: &e.Cell,
				Status: written[e.Status], Since: math.NaN(), Size: json.RawMessage(asRead)})
		}
	}
	return m.value(&m.list.Members, "endpoints")
}

// finish takes what merged members add up to, in place of those read first.
func (m *message) finish() {
	m.full, m.members, m.out.Skipped = nil, nil, nil
	for at, one := range m.list.Members {
		old := Member{}
		if at < len(m.was) {
			old = m.was[at]
		}
		kept := math.IsNaN(one.Since)
		if kept {
			one.Since = 0
		}
		if !m.take(at, one) {
			continue
		}
		e := &m.members[len(m.members)-1]
		if kept {
			e.Started, e.Since = old.Started, old.Since
		}
		if string(one.Size) == asRead {
			e.Size = old.Size
		}
	}
}

// memberOf gives a member of the list, or why nothing can be made of it.
func memberOf(m member) (e Member, fault string) {
	state, ok := states[m.Status]
	switch {
	case m.Name == "":
		fault = "name: missing"
	case !ok:
		fault = fmt.Sprintf("status: unknown %q", clip(m.Status))
	case m.Cell == nil:
		fault = "group: missing"
	case m.Address == "" && state != mixer.Dead:
		fault = "address: missing"
	case !(m.Since >= 0 && m.Since < 1e15):
		fault = fmt.Sprintf("since_ms: %v", m.Since)
	}
	if fault != "" {
		return e, fault
	}
	e.Address = m.Address
	if size, err := strconv.ParseFloat(string(m.Size), 64); err == nil && size > 0 && size < 1e9 {
		e.Size = size // one that cannot be read is as good as none: the searcher serves all the same
	}
	e.Searcher, e.Zone, e.Cell, e.Status, e.Started = m.Name, m.Zone, *m.Cell, state, charter.MillisToNanos(m.Since)
	if m.Since > 0 {
		e.Since = time.Unix(0, e.Started)
	}
	return e, ""
}
