// Package protocol encodes and decodes the messages of a mixer: the lookups of clients and their answers,
// the frames exchanged with searchers, the member list of the discovery service, and the configuration.
// It opens no connections itself.
//
// A lookup has parts, each of which goes to a searcher, a backend that serves one shard. The terms of the
// wire protocol and those of the code:
//
//	X-Txn                      Lookup.ID
//	X-Lane                     Lookup.Tariff (request profile)
//	X-Org                      Lookup.Customer, the row of the tenant
//	X-Remaining-Ms             Lookup.Expires
//	X-Resent                   Lookup.Again
//	shard                      routing.Part.Slice, Part.Shard
//	weight of a shard          routing.Part.Weight
//	cost (microseconds)        routing.Part.Effort
//	END of an answer frame     Reply.Outcome
//	endpoints                  MemberList.Members
//	name                       Member.Searcher
//	group                      Member.Cell
//	weight of an endpoint      Member.Size
//	since_ms                   Member.Started, Member.StartTime
//	SERVING, DRAINING, DELETED mixer.Live, mixer.Draining, mixer.Dead
//
// The errors of ReadLookup are sent to the client as the body of the response.
package protocol

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"nettlefold/internal/charter"
	"nettlefold/internal/routing"
)

// Paths and header fields of the client API.
const (
	PathLookup = "/api"
	PathHealth = "/_health"

	headerID        = "X-Txn"
	headerTariff    = "X-Lane"
	headerRemaining = "X-Remaining-Ms"
	headerResent    = "X-Resent"
	headerTenant    = "X-Org" // sent by clients, but not defined in the PROTOCOL document
)

// Lookup is the request of a client: the router's view of it, and the query text that every part carries.
type Lookup struct {
	routing.Lookup
	Query string
}

// ReadLookup parses and validates the request of a client, whose first byte arrived at the given time.
// It rejects whatever the PROTOCOL document of the platform does not allow: accepted values reach the searchers, and a searcher that
// cannot parse one closes a connection that other lookups share.
func ReadLookup(header http.Header, raw []byte, arrived time.Time, tariffs, tenants map[string]int,
	limits charter.Limits) (Lookup, error) {
	l := Lookup{}
	var remaining, resent, tenant string
	for _, h := range []struct {
		name   string
		target *string
	}{
		{headerID, &l.ID}, {headerTariff, &l.Tariff}, {headerRemaining, &remaining},
		{headerResent, &resent}, {headerTenant, &tenant},
	} {
		switch values := header.Values(h.name); len(values) {
		case 0:
		case 1:
			*h.target = values[0]
		default:
			return l, fmt.Errorf("%s: told %d times", h.name, len(values))
		}
	}
	if err := validateID(l.ID, limits.MaxIDBytes); err != nil {
		return l, err
	}
	if _, ok := tariffs[l.Tariff]; !ok {
		return l, fmt.Errorf("%s: unknown %q", headerTariff, truncate(l.Tariff))
	}
	if resent != "" && resent != "1" {
		return l, fmt.Errorf("%s: %q", headerResent, truncate(resent))
	}
	l.Again = resent == "1"
	if l.Customer = tenants[tenant]; len(tenants) > 0 && tenant != "" && l.Customer == 0 {
		return l, fmt.Errorf("%s: unknown %q", headerTenant, truncate(tenant))
	}
	remainingMillis, err := strconv.ParseUint(remaining, 10, 32)
	if err != nil {
		return l, fmt.Errorf("%s: not whole milliseconds: %q", headerRemaining, truncate(remaining))
	}
	l.Expires = arrived.Add(time.Duration(remainingMillis) * time.Millisecond)
	if err := l.readBody(raw, limits); err != nil {
		return l, fmt.Errorf("body: %w", err)
	}
	return l, nil
}

// readBody parses the JSON body: the parts and the query text.
func (l *Lookup) readBody(raw []byte, limits charter.Limits) error {
	if !utf8.Valid(raw) {
		return errors.New("not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	hasQuery := false
	err := readObject(d, func(key string) error {
		switch key {
		case "q":
			hasQuery = true
			return readString(d, &l.Query)
		case "shards":
			return readArray(d, func() error {
				prefix := fmt.Sprintf("shards[%d]: ", len(l.Parts))
				p, err := readPart(d, limits)
				if err == nil && slices.ContainsFunc(l.Parts, func(other routing.Part) bool { return other.Slice == p.Slice }) {
					err = fmt.Errorf("shard: %d is named twice", p.Slice)
				}
				if err != nil {
					return fmt.Errorf("%s%w", prefix, err)
				}
				l.Parts = append(l.Parts, p)
				return nil
			})
		}
		return d.Decode(&json.RawMessage{}) // a key of a newer version of the protocol
	})
	if err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("more than one JSON value")
	}
	// The decoder replaces an unpaired surrogate escape by U+FFFD. The query has such an escape if it has
	// more U+FFFD than the body has literal and escaped ones.
	if replaced := strings.Count(l.Query, "\ufffd"); replaced > 0 && replaced > bytes.Count(raw, []byte("\ufffd"))+
		bytes.Count(bytes.ToLower(raw), []byte(`\ufffd`)) {
		return errors.New("q: half a character")
	}
	switch {
	case !hasQuery:
		return errors.New("q: missing")
	case len(l.Parts) == 0:
		return errors.New("shards: none")
	}
	sum := 0.0
	for _, p := range l.Parts {
		sum += p.Weight
	}
	if math.Abs(sum-1) > weightTolerance*float64(len(l.Parts)) {
		return fmt.Errorf("shards: weights add up to %v", sum)
	}
	for i := range l.Parts {
		// An answer is complete when the weights of its parts add up to 1, which those of twelve parts of
		// 0.0833 would never do.
		l.Parts[i].Weight /= sum
	}
	return nil
}

// weightTolerance is the rounding error allowed in each weight: clients write weights with a few digits.
const weightTolerance = 1e-3

// readPart parses one element of "shards". The value of "key" is validated, but not used.
func readPart(d *json.Decoder, limits charter.Limits) (p routing.Part, err error) {
	shard, weight := -1, -1.0
	err = readObject(d, func(key string) error {
		switch key {
		case "shard":
			n, err := readNumber(d, key)
			if err != nil {
				return err
			}
			if shard, err = strconv.Atoi(n); err != nil || shard < 0 || shard >= limits.Shards {
				return fmt.Errorf("shard: %s is not within 0 to %d", truncate(n), limits.Shards-1)
			}
		case "weight":
			n, err := readNumber(d, key)
			if err != nil {
				return err
			}
			if weight, err = strconv.ParseFloat(n, 64); err != nil || !(weight > 0 && weight <= 1) {
				return fmt.Errorf("weight: %s is not above 0 and up to 1", truncate(n))
			}
		case "cost":
			n, err := readNumber(d, key)
			if err != nil {
				return err
			}
			micros, err := strconv.ParseFloat(n, 64)
			if err != nil || !(micros >= 0 && micros <= 1e12) {
				return fmt.Errorf("cost: %s", truncate(n))
			}
			p.Effort = time.Duration(math.Round(micros * 1000)) // from microseconds to ns
		case "key":
			var v string
			if err := readString(d, &v); err != nil {
				return fmt.Errorf("key: %w", err)
			}
			if _, err := strconv.ParseUint(v, 16, 64); err != nil || len(v) != 16 {
				return fmt.Errorf("key: not 16 hex digits: %q", truncate(v))
			}
		default:
			return d.Decode(&json.RawMessage{})
		}
		return nil
	})
	switch {
	case err != nil:
	case shard < 0:
		err = errors.New("shard: missing")
	case weight < 0:
		err = errors.New("weight: missing")
	}
	p.Slice, p.Weight = shard, weight
	return p, err
}

// readObject reads an object and calls member for each key, which has to consume the value. Duplicate keys
// are rejected; keys are case-sensitive.
func readObject(d *json.Decoder, member func(key string) error) error {
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return fmt.Errorf("not an object: %w", cmp.Or(err, errWrongType))
	}
	var keys []string
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return err
		}
		key := t.(string) // the decoder accepts no other token here
		if slices.Contains(keys, key) {
			return fmt.Errorf("%s: told twice", truncate(key))
		}
		if keys = append(keys, key); len(keys) > maxObjectKeys {
			return errors.New("too many keys")
		}
		if err := member(key); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

// maxObjectKeys limits the keys of an object. It leaves room for keys of newer versions of the protocol.
const maxObjectKeys = 32

var errWrongType = errors.New("another sort of value")

// readArray reads an array and calls item for each element, which has to consume it.
func readArray(d *json.Decoder, item func() error) error {
	if t, err := d.Token(); err != nil || t != json.Delim('[') {
		return fmt.Errorf("not an array: %w", cmp.Or(err, errWrongType))
	}
	for d.More() {
		if err := item(); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

// readString reads a string into target.
func readString(d *json.Decoder, target *string) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	s, ok := t.(string)
	if !ok {
		return fmt.Errorf("not a text: %w", errWrongType)
	}
	*target = s
	return nil
}

// readNumber reads a number and returns its text. key names it in errors.
func readNumber(d *json.Decoder, key string) (string, error) {
	t, err := d.Token()
	if err != nil {
		return "", err
	}
	n, ok := t.(json.Number)
	if !ok {
		return "", fmt.Errorf("%s: not a number: %w", key, errWrongType)
	}
	return string(n), nil
}

// validateID rejects an ID that is empty, too long, or cannot be written in the space-separated header line
// of a frame.
func validateID(id string, maxBytes int) error {
	if id == "" {
		return fmt.Errorf("%s: missing", headerID)
	}
	if len(id) > maxBytes {
		return fmt.Errorf("%s: %d bytes, at most %d", headerID, len(id), maxBytes)
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("%s: byte %#x in %q", headerID, c, id)
		}
	}
	return nil
}

// truncate limits text quoted in an error to 80 bytes.
func truncate(s string) string { return s[:min(len(s), 80)] }

// hit is the JSON form of the value of one part.
type hit struct {
	Shard int    `json:"shard"`
	Value string `json:"doc"`
}

// answer is the JSON form of the answer to a lookup.
type answer struct {
	Complete bool  `json:"complete"`
	Hits     []hit `json:"hits"`
}

// EncodeAnswer returns the response body of an answered lookup.
func EncodeAnswer(l Lookup, final routing.Final) ([]byte, error) {
	a := answer{Complete: final.Whole, Hits: make([]hit, len(final.Hits))}
	for i, h := range final.Hits {
		a.Hits[i] = hit{l.Parts[h.Part].Slice, string(h.Value)}
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(a)
	return out.Bytes(), err
}

// FormatRetryAfter formats a wait for the Retry-After header, in seconds with three decimals.
func FormatRetryAfter(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}
