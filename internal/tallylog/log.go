// Package tallylog implements the write-ahead log of the tallies: an append-only file of checksummed
// frames, each of which holds one batch. A torn frame at the end, left by a power loss during a write, is
// truncated at the next open. Corruption of synced frames is told apart from it; the corrupt file is
// renamed and a new one is created.
package tallylog

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"nettlefold/internal/tally"
)

const (
	logFileName        = "tallies.log"
	quarantineFileName = "damaged-tallies.log"
)

// fsync flushes a file to disk. Tests replace it to simulate failures.
var fsync = (*os.File).Sync

// Log is the open log of one directory. It isn't safe for concurrent use.
type Log struct {
	file        *os.File
	syncedBytes int64 // length of the synced part, where the next frame is written
	writeFailed bool  // an append failed since the last successful Recover
}

// Options configures new files.
type Options struct {
	// Complete means that an empty disk lacks nothing, because the whole system starts for the first time
	// or has kept no tallies before.
	Complete bool
	// NewOrigin returns an origin that no disk has used.
	NewOrigin func() tally.Origin
}

// Init creates a directory's log if there is none.
func Init(dir string, options Options) error {
	if _, err := os.Stat(filepath.Join(dir, logFileName)); err == nil {
		return nil
	}
	l, _, err := Open(dir, options)
	if err != nil {
		return err
	}
	l.Close()
	return nil
}

// Open opens a directory's log, or creates it, and returns its durable state. A corrupt file is kept
// under another name for inspection. In this case Open returns a usable new log whose state isn't
// complete, together with a *CorruptionError.
func Open(dir string, options Options) (*Log, tally.SavedState, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, tally.SavedState{}, merry.Prepend(err, "tallylog: create directory")
	}
	path := filepath.Join(dir, logFileName)
	l, saved, err := openFile(path, options)
	var corruption *CorruptionError
	switch {
	case errors.As(err, &corruption):
		if err := os.Rename(path, filepath.Join(dir, quarantineFileName)); err != nil {
			return nil, tally.SavedState{}, merry.Prepend(err, "tallylog: rename corrupt log")
		}
		options.Complete = false
		l, saved, err = create(path, options)
	case errors.Is(err, fs.ErrNotExist) || err == nil && len(saved.Origins) == 0:
		if l != nil {
			l.Close()
		}
		if _, err := os.Stat(filepath.Join(dir, quarantineFileName)); err == nil {
			// A corrupt log was renamed at an earlier start, for example just before a power loss. The new
			// log may lack its adds.
			options.Complete = false
		}
		l, saved, err = create(path, options)
	}
	if err != nil {
		return nil, tally.SavedState{}, err
	}
	if corruption != nil {
		return l, saved, corruption
	}
	return l, saved, nil
}

// openFile opens an existing file, truncates a torn end and makes the rest durable.
func openFile(path string, options Options) (*Log, tally.SavedState, error) {
	file, err := os.OpenFile(path, os.O_RDWR, 0o644)
	if err != nil {
		return nil, tally.SavedState{}, merry.Prepend(err, "tallylog: open log")
	}
	found, err := scan(file)
	if err == nil {
		err = makeDurable(file, found)
	}
	if err != nil {
		file.Close()
		return nil, tally.SavedState{}, err
	}
	l := &Log{file: file, syncedBytes: found.validBytes}
	if found.torn && len(found.state.Origins) > 0 {
		err = l.appendNewOrigin(found, options)
	}
	if err != nil {
		file.Close()
		return nil, tally.SavedState{}, err
	}
	return l, found.state, nil
}

// appendNewOrigin starts a new origin after a torn end, before anything else is appended. The truncated
// adds may have been sent to peers, so their sequence numbers must not be reused, not even by a later
// start that finds no torn end.
func (l *Log) appendNewOrigin(found *scanResult, options Options) error {
	batch := tally.Batch{NewOrigin: options.NewOrigin()}
	if err := l.Append(&batch); err != nil {
		return err
	}
	found.state.Origins = append(found.state.Origins, batch.NewOrigin)
	return nil
}

// makeDurable truncates a torn end and syncs the rest. It first rewrites the frames that no later frame
// confirms as synced: after a failed fsync of a killed process, the kernel may consider them written.
func makeDurable(file *os.File, found *scanResult) error {
	if found.torn {
		if err := file.Truncate(found.validBytes); err != nil {
			return merry.Prepend(err, "tallylog: truncate torn end")
		}
	}
	rest := make([]byte, found.validBytes-found.confirmedBytes)
	if _, err := file.ReadAt(rest, found.confirmedBytes); err != nil {
		return merry.Prepend(err, "tallylog: read unconfirmed frames")
	}
	if _, err := file.WriteAt(rest, found.confirmedBytes); err != nil {
		return merry.Prepend(err, "tallylog: rewrite unconfirmed frames")
	}
	return merry.Prepend(fsync(file), "tallylog: sync log")
}

// create creates a log whose first frame has the disk's origin. The file is durable when create returns.
func create(path string, options Options) (*Log, tally.SavedState, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return nil, tally.SavedState{}, merry.Prepend(err, "tallylog: create log")
	}
	l := &Log{file: file}
	first := tally.Batch{NewOrigin: options.NewOrigin(), Complete: options.Complete}
	if err := l.Append(&first); err != nil {
		file.Close()
		return nil, tally.SavedState{}, err
	}
	if err := syncDirectory(filepath.Dir(path)); err != nil {
		file.Close()
		return nil, tally.SavedState{}, err
	}
	return l, tally.SavedState{
		Set: tally.NewSet(), Origins: []tally.Origin{first.NewOrigin}, Complete: first.Complete,
	}, nil
}

// syncDirectory makes the creation of files in a directory durable.
func syncDirectory(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return merry.Prepend(err, "tallylog: open directory")
	}
	defer directory.Close()
	return merry.Prepend(fsync(directory), "tallylog: sync directory")
}

// Append writes a batch and syncs it. After a failed write or sync the batch may or may not be on disk, and
// Append fails until Recover succeeds.
func (l *Log) Append(batch *tally.Batch) error {
	if l.writeFailed {
		return merry.New("tallylog: append batch: Recover is required after a failed write")
	}
	payload, err := cbor.Marshal(batch)
	if err != nil {
		return merry.Prepend(err, "tallylog: encode batch")
	}
	frame := encodeFrame(l.syncedBytes, payload)
	if _, err := l.file.WriteAt(frame, l.syncedBytes); err != nil {
		l.writeFailed = true
		return merry.Prepend(err, "tallylog: write batch")
	}
	if err := fsync(l.file); err != nil {
		l.writeFailed = true
		return merry.Prepend(err, "tallylog: sync batch")
	}
	l.syncedBytes += int64(len(frame))
	return nil
}

// probeBytes is the number of bytes that Recover writes to test whether the disk works again.
const probeBytes = 64 << 10

// Recover removes what a failed write may have left. If it succeeds, the log has exactly what was synced
// before, and Append works again.
func (l *Log) Recover() error {
	if _, err := l.file.WriteAt(make([]byte, probeBytes), l.syncedBytes); err != nil {
		return merry.Prepend(err, "tallylog: recover: probe disk")
	}
	if err := l.file.Truncate(l.syncedBytes); err != nil {
		return merry.Prepend(err, "tallylog: recover: truncate log")
	}
	if err := fsync(l.file); err != nil {
		return merry.Prepend(err, "tallylog: recover: sync log")
	}
	l.writeFailed = false
	return nil
}

// Size returns the length of the log in bytes.
func (l *Log) Size() int64 { return l.syncedBytes }

// Close closes the file. Appended batches are durable without it.
func (l *Log) Close() { l.file.Close() }
