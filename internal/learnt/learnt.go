// Package learnt saves the backend statistics that a mixer has learned to a file when a process ends, and
// loads them when the next one starts. A file is accepted as a whole or rejected as a whole, with the reason.
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
	maxAge        = time.Minute // after which the statistics have decayed to a tenth
	maxFileBytes  = 4 << 20     // bytes
	maxSum        = 1e15        // ns or calls; no correct mixer has larger sums
)

// Layout identifies the deployment whose statistics a file holds. Under another layout they have another
// meaning, so the layouts of the writer and the reader must be equal.
type Layout struct {
	Cells, Reach, PerCall int
	Sized                 bool
}

// LayoutOf returns the layout of the deployment that a mixer is configured for.
func LayoutOf(c mixer.Config) Layout { return Layout{c.Cells, c.Reach, c.PerCall, c.Sized} }

// envelope is the content of the file: the encoded record and its SHA-256 digest in hex.
type envelope struct {
	Record json.RawMessage
	SHA256 string
}

// record is the stored state, with the time at which it was captured. The JSON names are part of the file format.
type record struct {
	FormatVersion int            `json:"Form"`
	CapturedAt    time.Time      `json:"At"`
	Layout        Layout         `json:"Shape"`
	State         mixer.Snapshot `json:"Kept"`
}

// Write atomically replaces the file at path with the state that was captured at the given time.
func Write(path string, capturedAt time.Time, layout Layout, state mixer.Snapshot) error {
	raw, err := json.Marshal(record{formatVersion, capturedAt, layout, state})
	if err != nil {
		return err
	}
	digest := sha256.Sum256(raw)
	content, err := json.Marshal(envelope{raw, hex.EncodeToString(digest[:])})
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".learnt-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // fails after the rename, when the temporary name is gone
	if _, err = f.Write(content); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// Read returns the state in the file at path and the time at which it was captured. The error of a rejected
// file starts with the kind of fault, a word that operators match: unreadable, truncated, spoilt (corrupt),
// foreign (another format or layout), stale (older than maxAge, or from the future) or unsound (figures out of
// range).
func Read(path string, now time.Time, layout Layout) (capturedAt time.Time, state mixer.Snapshot, err error) {
	f, err := os.Open(path)
	if err != nil {
		return capturedAt, state, fmt.Errorf("unreadable: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return capturedAt, state, fmt.Errorf("unreadable: %w", err)
	}
	if len(raw) > maxFileBytes {
		return capturedAt, state, fmt.Errorf("unreadable: more than %d bytes", maxFileBytes)
	}
	var e envelope
	if err := json.Unmarshal(raw, &e); err != nil {
		return capturedAt, state, fmt.Errorf("truncated: %w", err)
	}
	if digest := sha256.Sum256(e.Record); hex.EncodeToString(digest[:]) != e.SHA256 {
		return capturedAt, state, errors.New("spoilt: digest mismatch")
	}
	var r record
	if err := json.Unmarshal(e.Record, &r); err != nil || r.FormatVersion != formatVersion {
		return capturedAt, state, fmt.Errorf("foreign: format version %d, want %d (%v)", r.FormatVersion, formatVersion, err)
	}
	if r.Layout != layout {
		return capturedAt, state, fmt.Errorf("foreign: layout %+v, want %+v", r.Layout, layout)
	}
	if age := now.Sub(r.CapturedAt); age < 0 || age > maxAge {
		return capturedAt, state, fmt.Errorf("stale: %v old, want 0s to %v", age.Round(time.Second), maxAge)
	}
	for _, p := range append(r.State.Process, r.State.Fleet) {
		if !(p.Took >= 0 && p.Took < maxSum && p.Calls >= 0 && p.Calls < maxSum) {
			return capturedAt, state, fmt.Errorf("unsound: statistics out of range: %+v", p)
		}
	}
	return r.CapturedAt, r.State, nil
}
