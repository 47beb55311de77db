// Package learnt keeps what a mixer has learnt of the searchers in a file, from the end of one process to the start of the
// next. A record is taken whole or refused whole, with the reason.
package learnt

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"nettlefold/mixer"
)

const (
	formatVersion = 1
	maxAge        = time.Minute // what was learnt has faded to a tenth by then
	maxFileBytes  = 4 << 20     // bytes
	maxFigure     = 1e15        // ns or calls; sums beyond it are no sound mixer's
)

// Shape is what a record must agree in with who reads it, or its figures mean something else.
type Layout struct {
	Cells, Reach, PerCall int
	Sized                 bool
}

// ShapeOf gives the shape of a charter's deployment.
func LayoutOf(c mixer.Config) Layout { return Layout{c.Cells, c.Reach, c.PerCall, c.Sized} }

// envelope is the file: the record as written, and its digest.
type envelope struct {
	Record json.RawMessage
	SHA256 string
}

type record struct {
	Form  int
	At    time.Time
	Shape Layout
	Kept  mixer.Snapshot
}

// Write puts a record in the place of the file, whole or not at all.
func Write(path string, at time.Time, s Layout, k mixer.Snapshot) error {
	raw, err := json.Marshal(record{formatVersion, at, s, k})
	if err != nil {
		return err
	}
	sum := sha256.Sum256(raw)
	all, err := json.Marshal(envelope{raw, hex.EncodeToString(sum[:])})
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".learnt-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // fails once it has its place
	if _, err = f.Write(all); err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// Read gives a record with the time at which it held, or says why it is refused.
func Read(path string, now time.Time, s Layout) (at time.Time, k mixer.Snapshot, err error) {
	f, err := os.Open(path)
	if err != nil {
		return at, k, fmt.Errorf("unreadable: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return at, k, fmt.Errorf("unreadable: %w", err)
	}
	if len(raw) > maxFileBytes {
		return at, k, fmt.Errorf("unreadable: over %d bytes", maxFileBytes)
	}
	var e envelope
	if err := json.Unmarshal(raw, &e); err != nil {
		return at, k, fmt.Errorf("truncated: %w", err)
	}
	if sum := sha256.Sum256(e.Record); hex.EncodeToString(sum[:]) != e.SHA256 {
		return at, k, errors.New("spoilt: its digest is another")
	}
	var r record
	if err := json.Unmarshal(e.Record, &r); err != nil || r.Form != formatVersion {
		return at, k, fmt.Errorf("foreign: of form %d, want %d (%v)", r.Form, formatVersion, err)
	}
	if r.Shape != s {
		return at, k, fmt.Errorf("foreign: of shape %+v, want %+v", r.Shape, s)
	}
	if age := now.Sub(r.At); age < 0 || age > maxAge {
		return at, k, fmt.Errorf("stale: %v old, at most %v", age.Round(time.Second), maxAge)
	}
	for _, p := range append(r.Kept.Process, r.Kept.Fleet) {
		if !(p.Took >= 0 && p.Took < maxFigure && p.Calls >= 0 && p.Calls < maxFigure) {
			return at, k, fmt.Errorf("unsound: %+v", p)
		}
	}
	return r.At, r.Kept, nil
}
