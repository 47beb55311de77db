// Package protocol turns bytes into small typed values and back: lookups and their answers, the frames of
// searchers, the list, the configuration. It knows no sockets.
package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/routing"
)

// The names that clients use.
const (
	PathLookup = "/api"
	PathHealth = "/_health"

	headID        = "X-Txn"
	headTariff    = "X-Lane"
	headRemaining = "X-Remaining-Ms"
	headAgain     = "X-Resent"
)

// Lookup is a client's request: what the module is told of it, and the text that each part carries.
type Lookup struct {
	routing.Lookup
	Text string
}

type body struct {
	Shards []struct {
		Shard  *int     `json:"shard"`
		Weight *float64 `json:"weight"`
		Cost   *float64 `json:"cost"`
	} `json:"shards"`
	Text *string `json:"q"`
}

// ReadLookup reads a client's request, the first of which was seen at a time.
func ReadLookup(head http.Header, raw []byte, seen time.Time, tariffs map[string]int, lim charter.Limits) (Lookup, error) {
	l := Lookup{}
	l.ID, l.Tariff, l.Again = head.Get(headID), head.Get(headTariff), head.Get(headAgain) == "1"
	if err := checkID(l.ID, lim.ID); err != nil {
		return l, err
	}
	if _, ok := tariffs[l.Tariff]; !ok {
		return l, fmt.Errorf("%s: unknown %q", headTariff, clip(l.Tariff))
	}
	left, err := strconv.ParseFloat(head.Get(headRemaining), 64)
	if err != nil || !(left >= 0 && left <= 1e9) {
		return l, fmt.Errorf("%s: not a time in milliseconds: %q", headRemaining, clip(head.Get(headRemaining)))
	}
	l.Expires = seen.Add(time.Duration(charter.Nanos(left)))
	var b body
	d := json.NewDecoder(bytes.NewReader(raw))
	if err := d.Decode(&b); err != nil {
		return l, fmt.Errorf("body: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return l, errors.New("body: more than one JSON value")
	}
	if b.Text == nil {
		return l, errors.New("body: q: missing")
	}
	l.Text = *b.Text
	if len(b.Shards) == 0 {
		return l, errors.New("body: shards: none")
	}
	seenSlice := make(map[int]bool, len(b.Shards))
	for i, s := range b.Shards {
		at := fmt.Sprintf("body: shards[%d]", i)
		switch {
		case s.Shard == nil:
			return l, fmt.Errorf("%s: shard: missing", at)
		case *s.Shard < 0 || *s.Shard >= lim.Slices:
			return l, fmt.Errorf("%s: shard: %d is not within 0 to %d", at, *s.Shard, lim.Slices-1)
		case seenSlice[*s.Shard]:
			return l, fmt.Errorf("%s: shard: %d is named twice", at, *s.Shard)
		case s.Weight == nil:
			return l, fmt.Errorf("%s: weight: missing", at)
		case !(*s.Weight > 0 && *s.Weight <= 1):
			return l, fmt.Errorf("%s: weight: %v is not above 0 and up to 1", at, *s.Weight)
		}
		p := routing.Part{Slice: *s.Shard, Weight: *s.Weight}
		if s.Cost != nil {
			if !(*s.Cost >= 0 && *s.Cost <= 1e12) {
				return l, fmt.Errorf("%s: cost: %v", at, *s.Cost)
			}
			p.Effort = time.Duration(math.Round(*s.Cost * 1000))
		}
		seenSlice[*s.Shard] = true
		l.Parts = append(l.Parts, p)
	}
	return l, nil
}

// checkID sees to it that an id can stand in a line of a frame.
func checkID(id string, most int) error {
	if id == "" {
		return fmt.Errorf("%s: missing", headID)
	}
	if len(id) > most {
		return fmt.Errorf("%s: %d bytes, at most %d", headID, len(id), most)
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("%s: byte %#x in %q", headID, c, id)
		}
	}
	return nil
}

func clip(s string) string { return s[:min(len(s), 80)] }

type hit struct {
	Shard int    `json:"shard"`
	Value string `json:"doc"`
}

type answer struct {
	Complete bool  `json:"complete"`
	Hits     []hit `json:"hits"`
}

// WriteAnswer gives the body of an answered lookup.
func WriteAnswer(l Lookup, f routing.Final) ([]byte, error) {
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
func WriteWait(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}
