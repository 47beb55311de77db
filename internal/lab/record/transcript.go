// Package record writes down what a module is called with and what it does, to the bit, so that two builds of it can be
// compared: a transcript of calls and answers, a replay of it against another module, a digest, and worlds that are hard on
// the module. Where a change is meant to keep every decision, this package says whether it does.
//
// A transcript has one line an item. A call stands at the line's start, what the module did during it follows, each line indented
// by a tab. Values stand between tabs; times are ns. Structures are JSON without the fields that are zero, so that a new
// setting that is not used changes no transcript. Timers are numbered from 1 in the order in which they are set; whose a timer is
// stands there by the number of its query's handle, 0 for the mixer's own.
package record

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"math"
	"reflect"
	"strconv"
	"strings"
)

// Transcript takes the lines of one module, reckons their digest and passes them on.
type Transcript struct {
	lines  int
	digest hash.Hash
	out    io.Writer // nil: only the digest is kept
	line   []byte
	err    error // the first of out
}

// NewTranscript makes an empty transcript that is passed on to out, or to nothing where that is nil.
func NewTranscript(out io.Writer) *Transcript {
	return &Transcript{digest: sha256.New(), out: out}
}

// Lines is how many lines there are.
func (t *Transcript) Lines() int { return t.lines }

// Digest is the SHA-256 of all lines so far, in hex.
func (t *Transcript) Digest() string { return hex.EncodeToString(t.digest.Sum(nil)) }

// Err is the first error of what the transcript was passed on to.
func (t *Transcript) Err() error { return t.err }

// call writes a call's line, did one of what the module did.
func (t *Transcript) call(values ...any) { t.write("", values) }
func (t *Transcript) did(values ...any)  { t.write("\t", values) }

func (t *Transcript) write(indent string, values []any) {
	if t == nil {
		return
	}
	t.line = append(t.line[:0], indent...)
	for i, v := range values {
		if i > 0 {
			t.line = append(t.line, '\t')
		}
		t.line = appendValue(t.line, v)
	}
	t.line = append(t.line, '\n')
	t.lines++
	t.digest.Write(t.line)
	if t.out != nil && t.err == nil {
		_, t.err = t.out.Write(t.line)
	}
}

func appendValue(to []byte, v any) []byte {
	switch v := v.(type) {
	case string:
		if strings.ContainsAny(v, "\t\n") {
			panic(fmt.Sprintf("record: a name with a tab or an end of line: %q", v))
		}
		return append(to, v...)
	case int:
		return strconv.AppendInt(to, int64(v), 10)
	case int64:
		return strconv.AppendInt(to, v, 10)
	case bool:
		return strconv.AppendBool(to, v)
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(sparse(reflect.ValueOf(v))); err != nil {
		panic(fmt.Sprintf("record: %#v: %v", v, err))
	}
	return append(to, bytes.TrimSuffix(b.Bytes(), []byte("\n"))...)
}

// sparse gives a value without the fields that are zero. JSON sorts the rest by name and writes numbers so that they are read
// back the same.
func sparse(v reflect.Value) any {
	switch v.Kind() {
	case reflect.Struct:
		m := map[string]any{}
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if f.Anonymous {
				for k, x := range sparse(v.Field(i)).(map[string]any) {
					m[k] = x
				}
			} else if x := v.Field(i); !zero(x) {
				m[f.Name] = sparse(x)
			}
		}
		return m
	case reflect.Slice:
		all := make([]any, v.Len())
		for i := range all {
			all[i] = sparse(v.Index(i))
		}
		return all
	case reflect.Float64:
		if x := v.Float(); math.IsNaN(x) || math.IsInf(x, 0) { // JSON has no words for them
			return strconv.FormatFloat(x, 'g', -1, 64)
		}
	}
	return v.Interface()
}

// zero tells whether a field may be left out: it is zero to the bit, or an empty list.
func zero(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Float64:
		return math.Float64bits(v.Float()) == 0
	case reflect.Slice:
		return v.Len() == 0
	}
	return v.IsZero()
}
