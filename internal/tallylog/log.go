// Package tallylog keeps the tallies' adds on disk: one file that only grows, of checksummed frames. A frame is one batch, there as a whole
// or not at all. What was being written when the power went is cut off at the next open; damage to what was synced is told from that, and
// the file is set aside.
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

// fsync makes a file's contents lasting; tests have it fail.
var fsync = (*os.File).Sync

// Log is the open file of one directory.
type Log struct {
	file        *os.File
	syncedBytes int64 // of what was synced
	writeFailed bool  // a write failed since the last recovery
}

// Options say what a new file begins with.
type Options struct {
	// Complete says that an empty disk misses nothing: the whole system starts for the first time, or has kept no tallies before.
	Complete  bool
	NewOrigin func() tally.Origin
}

// Prepare makes a directory's file if there is none.
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

// Open opens a directory's file, makes one where there is none, and gives what it holds, which lasts. A damaged file is set aside for
// whoever wants to look at it: then the error is a *DamageError beside a log that starts anew and misses what the other held.
func Open(dir string, options Options) (*Log, tally.SavedState, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, tally.SavedState{}, merry.Prepend(err, "tally log: make directory")
	}
	path := filepath.Join(dir, logFileName)
	l, saved, err := openFile(path, options)
	var damage *CorruptionError
	switch {
	case errors.As(err, &damage):
		if err := os.Rename(path, filepath.Join(dir, quarantineFileName)); err != nil {
			return nil, tally.SavedState{}, merry.Prepend(err, "tally log: set aside")
		}
		options.Complete = false
		l, saved, err = create(path, options)
	case errors.Is(err, fs.ErrNotExist) || err == nil && len(saved.Origins) == 0:
		if l != nil {
			l.Close()
		}
		if _, err := os.Stat(filepath.Join(dir, quarantineFileName)); err == nil {
			options.Complete = false // the power went between setting it aside and beginning anew
		}
		l, saved, err = create(path, options)
	}
	if err != nil {
		return nil, tally.SavedState{}, err
	}
	if damage != nil {
		return l, saved, damage
	}
	return l, saved, nil
}

// openFile opens a file as it was left. What a killed process may have written without a sync is written once more before the sync: after
// one that failed, the kernel may take it for written.
func openFile(path string, options Options) (*Log, tally.SavedState, error) {
	file, err := os.OpenFile(path, os.O_RDWR, 0o644)
	if err != nil {
		return nil, tally.SavedState{}, merry.Prepend(err, "tally log: open")
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

// renewOrigin begins another origin behind a torn end, before anything else: what was cut off may have been told to others, and its numbers
// are not to be given to other adds, also by a later start that finds the file whole.
func (l *Log) appendNewOrigin(found *scanResult, options Options) error {
	batch := tally.Batch{NewOrigin: options.NewOrigin()}
	if err := l.Append(&batch); err != nil {
		return err
	}
	found.state.Origins = append(found.state.Origins, batch.NewOrigin)
	return nil
}

// lasting cuts off what is torn and makes the rest last.
func makeDurable(file *os.File, found *scanResult) error {
	if found.torn {
		if err := file.Truncate(found.validBytes); err != nil {
			return merry.Prepend(err, "tally log: cut off")
		}
	}
	rest := make([]byte, found.validBytes-found.confirmedBytes)
	if _, err := file.ReadAt(rest, found.confirmedBytes); err != nil {
		return merry.Prepend(err, "tally log: read the end")
	}
	if _, err := file.WriteAt(rest, found.confirmedBytes); err != nil {
		return merry.Prepend(err, "tally log: write the end")
	}
	return merry.Prepend(fsync(file), "tally log: sync")
}

// create makes a file whose first frame names the disk's origin; it lasts when create returns.
func create(path string, options Options) (*Log, tally.SavedState, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return nil, tally.SavedState{}, merry.Prepend(err, "tally log: create")
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
	return l, tally.SavedState{Set: tally.NewSet(), Origins: []tally.Origin{first.NewOrigin}, Complete: first.Complete}, nil
}

func syncDirectory(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return merry.Prepend(err, "tally log: sync directory")
	}
	defer d.Close()
	return merry.Prepend(fsync(d), "tally log: sync directory")
}

// Append makes a batch last. After an error the batch may be there or not, and nothing more is taken until Recover.
func (l *Log) Append(batch *tally.Batch) error {
	if l.writeFailed {
		return merry.New("tally log: an earlier write failed")
	}
	payload, err := cbor.Marshal(batch)
	if err != nil {
		return merry.Prepend(err, "tally log: encode")
	}
	frame := encodeFrame(l.syncedBytes, payload)
	if _, err := l.file.WriteAt(frame, l.syncedBytes); err != nil {
		l.writeFailed = true
		return merry.Prepend(err, "tally log: write")
	}
	if err := fsync(l.file); err != nil {
		l.writeFailed = true
		return merry.Prepend(err, "tally log: sync")
	}
	l.syncedBytes += int64(len(frame))
	return nil
}

// probeBytes are written to see whether the disk takes writes again.
const probeBytes = 64 << 10

// Recover takes back what a failed write may have left. Without an error the log holds what was synced before, and can be written again.
func (l *Log) Recover() error {
	if _, err := l.file.WriteAt(make([]byte, probeBytes), l.syncedBytes); err != nil {
		return merry.Prepend(err, "tally log: recover")
	}
	if err := l.file.Truncate(l.syncedBytes); err != nil {
		return merry.Prepend(err, "tally log: recover")
	}
	if err := fsync(l.file); err != nil {
		return merry.Prepend(err, "tally log: recover")
	}
	l.writeFailed = false
	return nil
}

// Size is how many bytes the file holds.
func (l *Log) Size() int64 { return l.syncedBytes }

// Close closes the file; nothing is lost by not doing so.
func (l *Log) Close() { l.file.Close() }
