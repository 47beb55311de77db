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

// Report is the content of a store's directory, read without changing it.
type Report struct {
	Files   []FileReport
	Meta    chain.Meta
	State   *replicated.State // of the newest snapshot, nil if there is none
	Entries []chain.Entry     // of the log's generation, by sequence number
}

// FileReport is the content of one file.
type FileReport struct {
	Path     string
	Bytes    int
	Records  int
	Complete bool
	// TornAt is the offset of a write torn by a power loss, -1 if there is none. Open truncates the
	// file there.
	TornAt int64
	// Damage describes a record that cannot be read although it was synced. A controller that
	// starts on such a file quarantines the store.
	Damage *DamageError
}

// Inspect reads a store offline. It fails if the store cannot be read at all; damage is part of the
// report.
func Inspect(dir string) (*Report, error) {
	numbers, err := listNumbers(dir)
	if err != nil {
		return nil, merry.Prepend(err, "durable: inspect")
	}
	if len(numbers) == 0 {
		return nil, merry.New("durable: inspect: " + dir + " contains no store")
	}
	report := &Report{}
	var newest map[string][]byte
	for _, n := range numbers {
		path := filePath(dir, n)
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, merry.Prepend(err, "durable: inspect")
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

// readFile replays the valid records of a file.
func readFile(path string, text []byte) (FileReport, map[string][]byte) {
	file := FileReport{Path: path, Bytes: len(text), TornAt: -1}
	result := scanLog(text)
	switch {
	case result.damaged:
		file.Damage = &DamageError{path, result.validBytes, result.reason}
	case result.reason != "":
		file.TornAt = result.validBytes
	}
	values := map[string][]byte{}
	for at := 0; at < int(result.validBytes); {
		parts, size, _ := parseCommand(text[at:])
		key := string(parts[1])
		values[key], _ = verifyChecksum(key, string(parts[2]))
		file.Records++
		at += size
	}
	_, file.Complete = values[completeKey]
	return file, values
}

// decode sets the metadata, state and entries from the values of the newest file.
func (r *Report) decode(values map[string][]byte) error {
	if payload, ok := values[metaKey]; ok {
		if err := cbor.Unmarshal(payload, &r.Meta); err != nil {
			return merry.Prepend(err, "durable: inspect: decode "+metaKey)
		}
	}
	if payload, ok := values[snapshotKey(r.Meta.Generation)]; ok {
		var snapshot chain.Snapshot
		if err := cbor.Unmarshal(payload, &snapshot); err != nil {
			return merry.Prepend(err, "durable: inspect: decode snapshot")
		}
		state, err := replicated.Decode(snapshot.State)
		if err != nil {
			return merry.Prepend(err, "durable: inspect: decode the snapshot's state")
		}
		r.State = state
	}
	keyPrefix := strings.TrimSuffix(entryKey(r.Meta.Generation, 0), fmt.Sprintf("%016x", 0))
	for key, payload := range values {
		if !strings.HasPrefix(key, keyPrefix) {
			continue
		}
		var entry chain.Entry
		if err := cbor.Unmarshal(payload, &entry); err != nil {
			return merry.Prepend(err, "durable: inspect: decode "+key)
		}
		r.Entries = append(r.Entries, entry)
	}
	slices.SortFunc(r.Entries, func(a, b chain.Entry) int { return int(int64(a.Seq) - int64(b.Seq)) })
	return nil
}

// Verify returns the first damage of a report, or an error if no file was completed. A torn write
// is no error.
func (r *Report) Verify() error {
	complete := false
	for _, f := range r.Files {
		if f.Damage != nil {
			return f.Damage
		}
		complete = complete || f.Complete
	}
	if !complete {
		return merry.New("durable: verify: no file of the store was completed")
	}
	return nil
}
