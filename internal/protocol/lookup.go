// Package protocol turns bytes into small typed values and back: lookups and their answers, the frames of
// searchers, the list, the configuration. It knows no sockets.
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

// The names that clients use.
const (
	PathLookup = "/api"
	PathHealth = "/_health"

	headerID        = "X-Txn"
	headerTariff    = "X-Lane"
	headerRemaining = "X-Remaining-Ms"
	headerResent    = "X-Resent"
	headerTenant    = "X-Org" // by the names on the sockets; the page itself has none for it
)

// Lookup is a client's request: what the module is told of it, and the text that each part carries.
type Lookup struct {
	routing.Lookup
	Query string
}

// ReadLookup reads a client's request, the first of which was seen at a time. It takes nothing that PROTOCOL does not have:
// what is let through reaches searchers, and one that cannot read it ends a connection that others share.
func ReadLookup(head http.Header, raw []byte, seen time.Time, tariffs, customers map[string]int,
	lim charter.Limits) (Lookup, error) {
	l := Lookup{}
	var remaining, again, customer string
	for _, h := range []struct {
		name string
		to   *string
	}{{headerID, &l.ID}, {headerTariff, &l.Tariff}, {headerRemaining, &remaining}, {headerResent, &again}, {headerTenant, &customer}} {
		switch all := head.Values(h.name); len(all) {
		case 0:
		case 1:
			*h.to = all[0]
		default:
			return l, fmt.Errorf("%s: told %d times", h.name, len(all))
		}
	}
	if err := validateID(l.ID, lim.MaxIDBytes); err != nil {
		return l, err
	}
	if _, ok := tariffs[l.Tariff]; !ok {
		return l, fmt.Errorf("%s: unknown %q", headerTariff, truncate(l.Tariff))
	}
	if again != "" && again != "1" {
		return l, fmt.Errorf("%s: %q", headerResent, truncate(again))
	}
	l.Again = again == "1"
	if l.Customer = customers[customer]; len(customers) > 0 && customer != "" && l.Customer == 0 {
		return l, fmt.Errorf("%s: unknown %q", headerTenant, truncate(customer))
	}
	left, err := strconv.ParseUint(remaining, 10, 32)
	if err != nil {
		return l, fmt.Errorf("%s: not whole milliseconds: %q", headerRemaining, truncate(remaining))
	}
	l.Expires = seen.Add(time.Duration(left) * time.Millisecond)
	if err := l.readBody(raw, lim); err != nil {
		return l, fmt.Errorf("body: %w", err)
	}
	return l, nil
}

// readBody reads the parts and their text.
func (l *Lookup) readBody(raw []byte, lim charter.Limits) error {
	if !utf8.Valid(raw) {
		return errors.New("not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	told := false
	err := readObject(d, func(key string) error {
		switch key {
		case "q":
			told = true
			return readString(d, &l.Query)
		case "shards":
			return readArray(d, func() error {
				at := fmt.Sprintf("shards[%d]: ", len(l.Parts))
				p, err := readPart(d, lim)
				if err == nil && slices.ContainsFunc(l.Parts, func(o routing.Part) bool { return o.Slice == p.Slice }) {
					err = fmt.Errorf("shard: %d is named twice", p.Slice)
				}
				if err != nil {
					return fmt.Errorf("%s%w", at, err)
				}
				l.Parts = append(l.Parts, p)
				return nil
			})
		}
		return d.Decode(&json.RawMessage{}) // something newer
	})
	if err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("more than one JSON value")
	}
	if lost := strings.Count(l.Query, "\ufffd"); lost > 0 && lost > bytes.Count(raw, []byte("\ufffd"))+
		bytes.Count(bytes.ToLower(raw), []byte(`\ufffd`)) {
		return errors.New("q: half a character")
	}
	switch {
	case !told:
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
		l.Parts[i].Weight /= sum // guards against twelve parts of 0.0833, all of which are never the whole
	}
	return nil
}

// rounding is how far each weight may be from what it stands for: they are written with a few digits.
const weightTolerance = 1e-3

// readPart reads one part.
func readPart(d *json.Decoder, lim charter.Limits) (p routing.Part, err error) {
	shard, weight := -1, -1.0
	err = readObject(d, func(key string) error {
		switch key {
		case "shard":
			n, err := readNumber(d, key)
			if err != nil {
				return err
			}
			if shard, err = strconv.Atoi(n); err != nil || shard < 0 || shard >= lim.Shards {
				return fmt.Errorf("shard: %s is not within 0 to %d", truncate(n), lim.Shards-1)
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
			p.Effort = time.Duration(math.Round(micros * 1000))
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

// object reads an object, each key of which may stand once, in just these letters.
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
		key := t.(string) // the decoder lets nothing else stand here
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

// mostKeys is how many keys an object may have: those there are and some newer ones.
const maxObjectKeys = 32

var errWrongType = errors.New("another sort of value")

// array reads an array.
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

func readString(d *json.Decoder, to *string) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	s, ok := t.(string)
	if !ok {
		return fmt.Errorf("not a text: %w", errWrongType)
	}
	*to = s
	return nil
}

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

// checkID sees to it that an id can stand in a line of a frame.
func validateID(id string, most int) error {
	if id == "" {
		return fmt.Errorf("%s: missing", headerID)
	}
	if len(id) > most {
		return fmt.Errorf("%s: %d bytes, at most %d", headerID, len(id), most)
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("%s: byte %#x in %q", headerID, c, id)
		}
	}
	return nil
}

func truncate(s string) string { return s[:min(len(s), 80)] }

type hit struct {
	Shard int    `json:"shard"`
	Value string `json:"doc"`
}

type answer struct {
	Complete bool  `json:"complete"`
	Hits     []hit `json:"hits"`
}

// WriteAnswer gives the body of an answered lookup.
func EncodeAnswer(l Lookup, f routing.Final) ([]byte, error) {
	a := answer{Complete: f.Whole, Hits: make([]hit, len(f.Hits))}
	for i, h := range f.Hits {
		a.Hits[i] = hit{l.Parts[h.Part].Slice, string(h.Value)}
	}
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	err := e.Encode(a)
	return out.Bytes(), err
}

// WriteWait gives a wait as the Retry-After header has it.
func FormatRetryAfter(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}
