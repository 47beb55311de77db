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

// jsonMember is the JSON form of a Member. It is an alias of an unnamed type: a named one would change the
// path that encoding/json puts into the type errors of a list.
type jsonMember = struct {
	Name    string          `json:"name"`
	Address string          `json:"address"`
	Zone    string          `json:"zone"`
	Cell    *int            `json:"group"`
	Status  string          `json:"status"`
	Since   float64         `json:"since_ms"`
	Size    json.RawMessage `json:"weight"`
}

// list is the JSON form of a MemberList; its name appears in the type errors of encoding/json. Members is
// used only if the array of members is repeated: otherwise each one is converted as soon as it has been read.
type list struct {
	Index    *int64       `json:"index"`
	Snapshot bool         `json:"snapshot"`
	Members  []jsonMember `json:"endpoints"`
}

// schemaError reports a message that is valid JSON but not a member list.
type schemaError struct{ error }

func (e *schemaError) Unwrap() error { return e.error }

// ignoredValue is a JSON value of any type that is skipped.
type ignoredValue struct{}

func (*ignoredValue) UnmarshalJSON([]byte) error { return nil }

// listDecoder decodes one message of the member list.
type listDecoder struct {
	decoder   *json.Decoder
	list      list
	typeError *json.UnmarshalTypeError // the first one, returned once the message has been read

	sawEndpoints bool // an array of members has been read
	out          MemberList
	fullChunks   [][]Member // earlier chunks
	chunk        []Member   // the current chunk
	rejected     []rejectedMember

	merged    bool     // there was a further array of members; list.Members has the result
	firstRead []Member // by index, before the merge; zero for rejected members
}

// rejectedMember is an invalid member and its index in the message.
type rejectedMember struct {
	index int
	jsonMember
}

// chunkMembers is the capacity of a chunk of members. One slice that grew over all members would allocate
// and discard five times what it keeps.
const chunkMembers = 512

// readList reads one message of the member list from a stream, member by member, so that it buffers the text
// of one member at a time. A schemaError is returned after the whole message has been read, any other error
// at once. io.EOF means that the stream ended between two messages.
//
// It accepts and rejects what json.Unmarshal into a list does: keys in any case and order, the last value of
// a repeated key, null for no value. A repeated array of members is merged into the earlier one by index, as
// there. The one difference is that the limit of encoding/json of 10,000 nested levels is reached up to
// two levels later, since the outer levels are read as tokens.
func readList(decoder *json.Decoder) (MemberList, error) {
	decoder.UseNumber()
	d := listDecoder{decoder: decoder}
	first, err := decoder.Token()
	if err != nil {
		return MemberList{}, err
	}
	if err := d.decodeMessage(first); err == io.EOF {
		return MemberList{}, io.ErrUnexpectedEOF
	} else if err != nil {
		return MemberList{}, err
	}
	if d.typeError != nil {
		return MemberList{}, &schemaError{d.typeError}
	}
	if d.list.Index == nil {
		return MemberList{}, &schemaError{errors.New("index: missing")}
	}
	d.out.Version, d.out.Snapshot = *d.list.Index, d.list.Snapshot
	d.out.Members = d.chunk
	if len(d.fullChunks) > 0 {
		d.out.Members = slices.Concat(append(d.fullChunks, d.chunk)...)
	}
	return d.out, nil
}

// decodeMessage reads a message whose first token has been read.
func (d *listDecoder) decodeMessage(first json.Token) error {
	if first != json.Delim('{') {
		if first == nil {
			return nil // json.Unmarshal leaves an empty list
		}
		return d.skipWrongType(first, reflect.TypeFor[list](), "", "")
	}
	for d.decoder.More() {
		key, err := d.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := key.(string)
		switch {
		case strings.EqualFold(name, "index"):
			err = d.decodeField(&d.list.Index, "index")
		case strings.EqualFold(name, "snapshot"):
			err = d.decodeField(&d.list.Snapshot, "snapshot")
		case !strings.EqualFold(name, "endpoints"):
			err = d.decoder.Decode(new(ignoredValue))
		case !d.sawEndpoints:
			d.sawEndpoints = true
			err = d.decodeMembers()
		default:
			err = d.mergeMembers()
		}
		if err != nil {
			return err
		}
	}
	if _, err := d.decoder.Token(); err != nil || !d.merged {
		return err
	}
	d.finishMerge()
	return nil
}

// decodeField decodes the value of one field into target. A value of the wrong type is recorded and skipped,
// as json.Unmarshal does.
func (d *listDecoder) decodeField(target any, field string) error {
	err := d.decoder.Decode(target)
	if e := (*json.UnmarshalTypeError)(nil); errors.As(err, &e) {
		if e.Field == "" {
			e.Struct, e.Field = "list", field
		} else {
			e.Field = field + "." + e.Field
		}
		d.recordTypeError(e)
		return nil
	}
	return err
}

// recordTypeError keeps the first type error.
func (d *listDecoder) recordTypeError(e *json.UnmarshalTypeError) {
	if d.typeError == nil {
		d.typeError = e
	}
}

// skipWrongType records that a value is not of the wanted type, and skips it. Its first token has been read.
func (d *listDecoder) skipWrongType(first json.Token, want reflect.Type, structName, field string) error {
	e := &json.UnmarshalTypeError{Type: want, Struct: structName, Field: field}
	d.recordTypeError(e)
	switch first := first.(type) {
	case json.Delim:
		e.Value = "array"
		if first == '{' {
			e.Value = "object"
		}
		for d.decoder.More() {
			if first == '{' {
				if _, err := d.decoder.Token(); err != nil {
					return err
				}
			}
			if err := d.decoder.Decode(new(ignoredValue)); err != nil {
				return err
			}
		}
		_, err := d.decoder.Token()
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

// decodeMembers reads the first array of members and converts each member as it is read.
func (d *listDecoder) decodeMembers() error {
	switch open, err := d.decoder.Token(); {
	case err != nil:
		return err
	case open == nil:
		return nil
	case open != json.Delim('['):
		return d.skipWrongType(open, reflect.TypeFor[[]jsonMember](), "list", "endpoints")
	}
	var one jsonMember
	for index := 0; d.decoder.More(); index++ {
		one = jsonMember{Size: one.Size[:0]}
		if err := d.decodeField(&one, "endpoints"); err != nil {
			return err
		}
		if !d.addMember(index, one) {
			rejected := one
			rejected.Size = slices.Clone(one.Size) // one.Size is overwritten by the next member
			d.rejected = append(d.rejected, rejectedMember{index, rejected})
		}
	}
	_, err := d.decoder.Token()
	return err
}

// addMember converts a member and appends it, or records why it is skipped.
func (d *listDecoder) addMember(index int, in jsonMember) (added bool) {
	member, reason := convertMember(in)
	if reason != "" {
		d.out.Skipped = append(d.out.Skipped, SkippedMember{in.Name, fmt.Sprintf("endpoints[%d]: %s", index, reason)})
		return false
	}
	d.appendMember(member)
	return true
}

// appendMember appends to the current chunk, and begins a new one if that is full.
func (d *listDecoder) appendMember(m Member) {
	if len(d.chunk) == chunkMembers {
		d.fullChunks, d.chunk = append(d.fullChunks, d.chunk), make([]Member, 0, chunkMembers)
	}
	d.chunk = append(d.chunk, m)
}

// unchangedWeight marks a weight that a merge leaves unchanged; NaN marks an unchanged start time. Neither
// can be restored to its exact text from the converted member.
const unchangedWeight = "-"

// mergeMembers reads a further array of members over the earlier ones, by index: fields that it omits keep
// their values. On the first call, it writes the earlier members back to their JSON form.
func (d *listDecoder) mergeMembers() error {
	if !d.merged {
		d.merged = true
		all := slices.Concat(append(d.fullChunks, d.chunk)...)
		for index := 0; len(all) > 0 || len(d.rejected) > 0; index++ {
			if len(d.rejected) > 0 && d.rejected[0].index == index {
				d.list.Members, d.firstRead = append(d.list.Members, d.rejected[0].jsonMember), append(d.firstRead, Member{})
				d.rejected = d.rejected[1:]
				continue
			}
			m := all[0]
			all, d.firstRead = all[1:], append(d.firstRead, m)
			d.list.Members = append(d.list.Members, jsonMember{Name: m.Searcher, Address: m.Address, Zone: m.Zone,
				Cell: &m.Cell, Status: statusNames[m.Status], Since: math.NaN(), Size: json.RawMessage(unchangedWeight)})
		}
	}
	return d.decodeField(&d.list.Members, "endpoints")
}

// finishMerge replaces the members by the result of the merge.
func (d *listDecoder) finishMerge() {
	d.fullChunks, d.chunk, d.out.Skipped = nil, nil, nil
	for index, merged := range d.list.Members {
		first := Member{}
		if index < len(d.firstRead) {
			first = d.firstRead[index]
		}
		sinceUnchanged := math.IsNaN(merged.Since)
		if sinceUnchanged {
			merged.Since = 0
		}
		if !d.addMember(index, merged) {
			continue
		}
		m := &d.chunk[len(d.chunk)-1]
		if sinceUnchanged {
			m.Started, m.StartTime = first.Started, first.StartTime
		}
		if string(merged.Size) == unchangedWeight {
			m.Size = first.Size
		}
	}
}

// convertMember returns the Member for its JSON form, or the reason why it is invalid.
func convertMember(in jsonMember) (m Member, reason string) {
	status, ok := statusByName[in.Status]
	switch {
	case in.Name == "":
		reason = "name: missing"
	case !ok:
		reason = fmt.Sprintf("status: unknown %q", truncate(in.Status))
	case in.Cell == nil:
		reason = "group: missing"
	case in.Address == "" && status != mixer.Dead:
		reason = "address: missing"
	case !(in.Since >= 0 && in.Since < 1e15):
		reason = fmt.Sprintf("since_ms: %v", in.Since)
	}
	if reason != "" {
		return m, reason
	}
	m.Address = in.Address
	if size, err := strconv.ParseFloat(string(in.Size), 64); err == nil && size > 0 && size < 1e9 {
		m.Size = size // an invalid weight is ignored like an absent one, since the searcher can still serve
	}
	m.Searcher, m.Zone, m.Cell, m.Status, m.Started = in.Name, in.Zone, *in.Cell, status, charter.MillisToNanos(in.Since)
	if in.Since > 0 {
		m.StartTime = time.Unix(0, m.Started)
	}
	return m, ""
}
