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
type jsonMember = struct {
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
	Index    *int64       `json:"index"`
	Snapshot bool         `json:"snapshot"`
	Members  []jsonMember `json:"endpoints"`
}

// misfit is the error of a message that is sound JSON, and no list.
type schemaError struct{ error }

func (e *schemaError) Unwrap() error { return e.error }

// passed is a value that is not looked at.
type ignoredValue struct{}

func (*ignoredValue) UnmarshalJSON([]byte) error { return nil }

// message is a message of the list on its way in.
type listDecoder struct {
	decoder   *json.Decoder
	list      list
	typeError *json.UnmarshalTypeError // the first, told once the message is whole

	sawEndpoints bool // its members, once
	out          MemberList
	fullChunks   [][]Member // read, in pieces of piece
	chunk        []Member   // the last piece
	rejected     []rejectedMember

	merged    bool     // its members came again: list.Members has what they add up to
	firstRead []Member // by place, as read the first time
}

// rejected is a member that is left out, and its place.
type rejectedMember struct {
	index int
	jsonMember
}

// piece is how many members are gathered at once: a slice that grew over all of them would throw away five times what it keeps.
const chunkMembers = 512

// readList reads one message of the list from a stream, member by member; it holds one member's text, and no more of the message. A misfit
// ends it once the message has come whole, anything else at once; io.EOF is the end between two messages.
//
// It takes and refuses what json.Unmarshal into a list does: keys in any case and order, the last of several, null for nothing.
// Members that come twice are laid over each other by place, as there. It alone takes a value nested 10,000 deep less two.
func readList(in *json.Decoder) (MemberList, error) {
	in.UseNumber()
	m := listDecoder{decoder: in}
	first, err := in.Token()
	if err != nil {
		return MemberList{}, err
	}
	if err := m.decodeMessage(first); err == io.EOF {
		return MemberList{}, io.ErrUnexpectedEOF
	} else if err != nil {
		return MemberList{}, err
	}
	if m.typeError != nil {
		return MemberList{}, &schemaError{m.typeError}
	}
	if m.list.Index == nil {
		return MemberList{}, &schemaError{errors.New("index: missing")}
	}
	m.out.Version, m.out.Snapshot = *m.list.Index, m.list.Snapshot
	m.out.Members = m.chunk
	if len(m.fullChunks) > 0 {
		m.out.Members = slices.Concat(append(m.fullChunks, m.chunk)...)
	}
	return m.out, nil
}

// read reads a message from its first token on.
func (m *listDecoder) decodeMessage(first json.Token) error {
	if first != json.Delim('{') {
		if first == nil {
			return nil // null is a list without anything
		}
		return m.skipWrongType(first, reflect.TypeFor[list](), "", "")
	}
	for m.decoder.More() {
		key, err := m.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := key.(string)
		switch {
		case strings.EqualFold(name, "index"):
			err = m.decodeField(&m.list.Index, "index")
		case strings.EqualFold(name, "snapshot"):
			err = m.decodeField(&m.list.Snapshot, "snapshot")
		case !strings.EqualFold(name, "endpoints"):
			err = m.decoder.Decode(new(ignoredValue))
		case !m.sawEndpoints:
			m.sawEndpoints = true
			err = m.decodeMembers()
		default:
			err = m.mergeMembers()
		}
		if err != nil {
			return err
		}
	}
	if _, err := m.decoder.Token(); err != nil || !m.merged {
		return err
	}
	m.finishMerge()
	return nil
}

// value reads one value of the message. One of another type is noted and passed over, as json.Unmarshal does.
func (m *listDecoder) decodeField(to any, field string) error {
	err := m.decoder.Decode(to)
	if e := (*json.UnmarshalTypeError)(nil); errors.As(err, &e) {
		if e.Field == "" {
			e.Struct, e.Field = "list", field
		} else {
			e.Field = field + "." + e.Field
		}
		m.recordTypeError(e)
		return nil
	}
	return err
}

func (m *listDecoder) recordTypeError(e *json.UnmarshalTypeError) {
	if m.typeError == nil {
		m.typeError = e
	}
}

// other passes over a value that should be of another type and has begun with a token.
func (m *listDecoder) skipWrongType(first json.Token, want reflect.Type, of, field string) error {
	e := &json.UnmarshalTypeError{Type: want, Struct: of, Field: field}
	m.recordTypeError(e)
	switch first := first.(type) {
	case json.Delim:
		e.Value = "array"
		if first == '{' {
			e.Value = "object"
		}
		for m.decoder.More() {
			if first == '{' {
				if _, err := m.decoder.Token(); err != nil {
					return err
				}
			}
			if err := m.decoder.Decode(new(ignoredValue)); err != nil {
				return err
			}
		}
		_, err := m.decoder.Token()
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
func (m *listDecoder) decodeMembers() error {
	switch begin, err := m.decoder.Token(); {
	case err != nil:
		return err
	case begin == nil:
		return nil
	case begin != json.Delim('['):
		return m.skipWrongType(begin, reflect.TypeFor[[]jsonMember](), "list", "endpoints")
	}
	var one jsonMember
	for at := 0; m.decoder.More(); at++ {
		one = jsonMember{Size: one.Size[:0]}
		if err := m.decodeField(&one, "endpoints"); err != nil {
			return err
		}
		if !m.addMember(at, one) {
			out := one
			out.Size = slices.Clone(one.Size) // the next member's comes in its place
			m.rejected = append(m.rejected, rejectedMember{at, out})
		}
	}
	_, err := m.decoder.Token()
	return err
}

// take keeps what a member is, or why it is left out.
func (m *listDecoder) addMember(at int, one jsonMember) (taken bool) {
	e, fault := convertMember(one)
	if fault != "" {
		m.out.Skipped = append(m.out.Skipped, SkippedMember{one.Name, fmt.Sprintf("endpoints[%d]: %s", at, fault)})
		return false
	}
	m.appendMember(e)
	return true
}

func (m *listDecoder) appendMember(e Member) {
	if len(m.chunk) == chunkMembers {
		m.fullChunks, m.chunk = append(m.fullChunks, m.chunk), make([]Member, 0, chunkMembers)
	}
	m.chunk = append(m.chunk, e)
}

// asRead stands in a member that is merged with another for the size that was read before; the time it began is no number then.
const unchangedWeight = "-"

// again reads members that come after others, over those: by place, what is not told stays. What was read of the first is
// written as it was, but for what is no longer known to the last digit.
func (m *listDecoder) mergeMembers() error {
	if !m.merged {
		m.merged = true
		all := slices.Concat(append(m.fullChunks, m.chunk)...)
		for at := 0; len(all) > 0 || len(m.rejected) > 0; at++ {
			if len(m.rejected) > 0 && m.rejected[0].index == at {
				m.list.Members, m.firstRead = append(m.list.Members, m.rejected[0].jsonMember), append(m.firstRead, Member{})
				m.rejected = m.rejected[1:]
				continue
			}
			e := all[0]
			all, m.firstRead = all[1:], append(m.firstRead, e)
			m.list.Members = append(m.list.Members, jsonMember{Name: e.Searcher, Address: e.Address, Zone: e.Zone, Cell: &e.Cell,
				Status: statusNames[e.Status], Since: math.NaN(), Size: json.RawMessage(unchangedWeight)})
		}
	}
	return m.decodeField(&m.list.Members, "endpoints")
}

// finish takes what merged members add up to, in place of those read first.
func (m *listDecoder) finishMerge() {
	m.fullChunks, m.chunk, m.out.Skipped = nil, nil, nil
	for at, one := range m.list.Members {
		old := Member{}
		if at < len(m.firstRead) {
			old = m.firstRead[at]
		}
		kept := math.IsNaN(one.Since)
		if kept {
			one.Since = 0
		}
		if !m.addMember(at, one) {
			continue
		}
		e := &m.chunk[len(m.chunk)-1]
		if kept {
			e.Started, e.StartTime = old.Started, old.StartTime
		}
		if string(one.Size) == unchangedWeight {
			e.Size = old.Size
		}
	}
}

// memberOf gives a member of the list, or why nothing can be made of it.
func convertMember(m jsonMember) (e Member, fault string) {
	state, ok := statusByName[m.Status]
	switch {
	case m.Name == "":
		fault = "name: missing"
	case !ok:
		fault = fmt.Sprintf("status: unknown %q", truncate(m.Status))
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
		e.StartTime = time.Unix(0, e.Started)
	}
	return e, ""
}
