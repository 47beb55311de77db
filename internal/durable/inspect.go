package durable

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"nettlefold/internal/chain"
	"nettlefold/internal/replicated"
)

// Report is what a store's directory holds, read without changing it.
type Report struct {
	Files   []FileReport
	Meta    chain.Meta
	State   *replicated.State // of the newest snapshot, nil if there is none
	Entries []chain.Entry     // of the log's generation, by number
}

// FileReport is what one file holds.
type FileReport struct {
	Path     string
	Bytes    int
	Records  int
	Complete bool
	// TornAt is the offset of an end that was being written when the power went, -1 if there is none; a start cuts it off.
	TornAt int64
	// Damage is a record that cannot be read although it was synced; a start sets the file aside.
	Damage *DamageError
}

// Inspect reads a store offline. It fails if it cannot be read at all; damage is in the report.
func Inspect(dir string) (*Report, error) {
	numbers, err := listNumbers(dir)
	if err != nil {
		return nil, merry.Prepend(err, "inspect")
	}
	if len(numbers) == 0 {
		return nil, merry.New("inspect: " + dir + " holds no store")
	}
	report := &Report{}
	var newest map[string][]byte
	for _, n := range numbers {
		path := filePath(dir, n)
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, merry.Prepend(err, "inspect")
		}
		file, values := readFile(path, text)
		report.Files = append(report.Files, file)
		if file.Complete {
			newest = values
		}
	}
	if newest == nil {
		return report, nil
	}
	return report, report.decode(newest)
}

// readFile replays a file's whole records.
func readFile(path string, text []byte) (FileReport, map[string][]byte) {
	file := FileReport{Path: path, Bytes: len(text), TornAt: -1}
	found := scanLog(text)
	switch {
	case found.damaged:
		file.Damage = &DamageError{path, found.validBytes, found.reason}
	case found.reason != "":
		file.TornAt = found.validBytes
	}
	values := map[string][]byte{}
	for at := 0; at < int(found.validBytes); {
		parts, size, _ := parseCommand(text[at:])
		key := string(parts[1])
		values[key], _ = verifyChecksum(key, string(parts[2]))
		file.Records++
		at += size
	}
	_, file.Complete = values[completeKey]
	return file, values
}

func (r *Report) decode(values map[string][]byte) error {
	if payload, ok := values[metaKey]; ok {
		if err := cbor.Unmarshal(payload, &r.Meta); err != nil {
			return merry.Prepend(err, "inspect: "+metaKey)
		}
	}
	if payload, ok := values[snapshotKey(r.Meta.Generation)]; ok {
		var snapshot chain.Snapshot
		if err := cbor.Unmarshal(payload, &snapshot); err != nil {
			return merry.Prepend(err, "inspect: snapshot")
		}
		state, err := replicated.Decode(snapshot.State)
		if err != nil {
			return merry.Prepend(err, "inspect: snapshot")
		}
		r.State = state
	}
	within := strings.TrimSuffix(entryKey(r.Meta.Generation, 0), fmt.Sprintf("%016x", 0))
	for key, payload := range values {
		if !strings.HasPrefix(key, within) {
			continue
		}
		var e chain.Entry
		if err := cbor.Unmarshal(payload, &e); err != nil {
			return merry.Prepend(err, "inspect: "+key)
		}
		r.Entries = append(r.Entries, e)
	}
	slices.SortFunc(r.Entries, func(a, b chain.Entry) int { return int(int64(a.Seq) - int64(b.Seq)) })
	return nil
}

// Fault is the first damage of a report, nil if there is none: a torn end is none.
func (r *Report) Verify() error {
	complete := false
	for _, f := range r.Files {
		if f.Damage != nil {
			return f.Damage
		}
		complete = complete || f.Complete
	}
	if !complete {
		return merry.New("no file of the store was completed")
	}
	return nil
}
