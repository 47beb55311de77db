// Package durable stores a replica's records on disk in the log of buntdb. Beyond what buntdb does,
// it syncs the log and checks the result, verifies the checksum of every value, truncates a write
// torn by a power loss, distinguishes that from damage, and compacts into a new file. The new file
// is durable before the old one is removed, instead of being renamed over it. The replica's log is
// divided into generations: a snapshot that replaces the whole log starts a new one.
package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/tidwall/buntdb"

	"nettlefold/internal/chain"
)

const (
	metaKey       = "meta"
	completeKey   = "complete" // its presence says that the file was created completely; Open ignores a file without it
	filePrefix    = "state-"
	fileSuffix    = ".db"
	damagedPrefix = "damaged-"

	// A file is compacted if it is larger than minCompactBytes and than minCompactRatio times its
	// live records.
	minCompactBytes = 4 << 20
	minCompactRatio = 4

	// recordOverheadBytes approximates what the log's framing adds to the key and value of a record.
	recordOverheadBytes = 40
)

// Store is the open store of one directory.
type Store struct {
	dir        string
	number     int // of the file in use; each compaction takes the next
	path       string
	db         *buntdb.DB
	syncFile   *os.File // to sync what db writes
	sizeBytes  int64    // estimate of the file's size: when opened, plus what was written since
	syncMarked bool     // the last sync already has its marker
	liveBytes  int64    // of the records that a compaction would keep, as last counted; the file size before that
}

// Open opens the store in a directory, or creates one if there is none. It fails with a
// *DamageError if the newest file is damaged.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, merry.Prepend(err, "durable: make directory")
	}
	numbers, err := listNumbers(dir)
	if err != nil {
		return nil, merry.Prepend(err, "durable: list")
	}
	for i := len(numbers) - 1; i >= 0; i-- {
		s, err := openFile(dir, numbers[i])
		if err != nil {
			return nil, err
		}
		if s != nil {
			s.removeOtherFiles(numbers)
			return s, nil
		}
	}
	number := 1
	if len(numbers) > 0 {
		number = numbers[len(numbers)-1] + 1
	}
	return createFile(dir, number, nil)
}

// Exists reports whether a directory contains a store, intact or not.
func Exists(dir string) bool {
	numbers, err := listNumbers(dir)
	return err == nil && len(numbers) > 0
}

// listNumbers returns the numbers of the store's files in ascending order.
func listNumbers(dir string) (numbers []int, err error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		name, ok := strings.CutPrefix(f.Name(), filePrefix)
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSuffix(name, fileSuffix)); err == nil && strings.HasSuffix(name, fileSuffix) {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// filePath returns the path of the store's file with a number.
func filePath(dir string, number int) string {
	return filepath.Join(dir, fmt.Sprintf("%s%06d%s", filePrefix, number, fileSuffix))
}

// openFile opens a file, or returns nil if its creation was not completed.
func openFile(dir string, number int) (*Store, error) {
	path := filePath(dir, number)
	if err := repairFile(path); err != nil {
		return nil, err
	}
	s, err := openDatabase(dir, number)
	if err != nil {
		return nil, err
	}
	if _, complete, err := s.get(completeKey); !complete || err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// fsync makes a file's contents durable. Tests replace it to inject failures.
var fsync = (*os.File).Sync

// repairFile truncates a write torn by a power loss and syncs the rest: a process that was killed
// may have written records without syncing them, and the reader will rely on them. If an unreadable
// record had been synced, it fails with a *DamageError and changes nothing.
func repairFile(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return merry.Prepend(err, "durable: read "+path)
	}
	result := scanLog(text)
	if result.damaged {
		return &DamageError{path, result.validBytes, result.reason}
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0o644)
	if err != nil {
		return merry.Prepend(err, "durable: repair "+path)
	}
	defer file.Close()
	if result.reason != "" {
		if err := file.Truncate(result.validBytes); err != nil {
			return merry.Prepend(err, "durable: repair "+path)
		}
	}
	return merry.Prepend(fsync(file), "durable: repair "+path)
}

// openDatabase opens a file without repair.
func openDatabase(dir string, number int) (*Store, error) {
	s := &Store{dir: dir, number: number, path: filePath(dir, number)}
	db, err := buntdb.Open(s.path)
	if err != nil {
		return nil, merry.Prepend(err, "durable: open "+s.path)
	}
	s.db = db
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		db.Close()
		return nil, merry.Prepend(err, "durable: configure "+s.path)
	}
	if s.syncFile, err = os.OpenFile(s.path, os.O_RDWR, 0o644); err != nil {
		db.Close()
		return nil, merry.Prepend(err, "durable: open "+s.path)
	}
	if info, err := s.syncFile.Stat(); err == nil {
		s.sizeBytes = info.Size()
	}
	s.liveBytes = s.sizeBytes
	return s, nil
}

// createFile creates a file with the given records. The file is durable when createFile returns.
func createFile(dir string, number int, records map[string]string) (*Store, error) {
	s, err := openDatabase(dir, number)
	if err != nil {
		return nil, err
	}
	keys := make([]string, 0, len(records))
	for key := range records {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if err := s.set(key, records[key]); err != nil {
			s.discard()
			return nil, err
		}
	}
	if err := s.set(completeKey, addChecksum(completeKey, nil)); err != nil {
		s.discard()
		return nil, err
	}
	if err := s.sync(); err != nil {
		s.discard()
		return nil, err
	}
	s.liveBytes = s.sizeBytes
	return s, syncDir(dir)
}

// syncDir makes the entries of a directory durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return merry.Prepend(err, "durable: sync directory")
	}
	defer d.Close()
	return merry.Prepend(fsync(d), "durable: sync directory")
}

// removeOtherFiles removes the files with the given numbers except that of s.
func (s *Store) removeOtherFiles(numbers []int) {
	for _, n := range numbers {
		if n != s.number {
			os.Remove(filePath(s.dir, n))
		}
	}
}

// Close closes the store. No record is lost if a process ends without it.
func (s *Store) Close() {
	s.MarkSynced() // a failure only leaves the records unmarked
	s.close()
}

// close closes the database and the file without a sync marker.
func (s *Store) close() {
	s.db.Close()
	s.syncFile.Close()
}

// discard closes the store and removes its file.
func (s *Store) discard() {
	s.close()
	os.Remove(s.path)
}

// MarkSynced appends a marker that says that all records before it were synced. An unreadable
// record before a marker is damage; after the last marker it is taken for a torn write. The marker
// itself need not be durable.
func (s *Store) MarkSynced() error {
	if s.syncMarked {
		return nil
	}
	if err := s.set(syncMarkerKey, addChecksum(syncMarkerKey, nil)); err != nil {
		return err
	}
	s.syncMarked = true
	return nil
}

// Quarantine renames the files of a damaged store so that they can be inspected, and removes those
// of an earlier quarantine. Afterwards the directory contains no store.
func Quarantine(dir string) error {
	numbers, err := listNumbers(dir)
	if err != nil {
		return merry.Prepend(err, "durable: quarantine")
	}
	old, err := filepath.Glob(filepath.Join(dir, damagedPrefix+"*"))
	if err != nil {
		return merry.Prepend(err, "durable: quarantine")
	}
	for _, path := range old {
		os.Remove(path)
	}
	for _, n := range numbers {
		path := filePath(dir, n)
		if err := os.Rename(path, filepath.Join(dir, damagedPrefix+filepath.Base(path))); err != nil {
			return merry.Prepend(err, "durable: quarantine "+path)
		}
	}
	return syncDir(dir)
}

// Write makes records durable in their order. After an error the open store holds a prefix of them,
// and it is unknown which of them are on disk; Rewrite makes the file reliable again.
func (s *Store) Write(records []chain.Record) error {
	if len(records) == 0 {
		return nil
	}
	if err := s.MarkSynced(); err != nil {
		return err
	}
	for i := range records {
		if err := s.put(&records[i]); err != nil {
			return err
		}
	}
	if err := s.sync(); err != nil {
		return err
	}
	s.compactIfNeeded(records)
	return nil
}

// put writes a record under its key.
func (s *Store) put(r *chain.Record) error {
	switch {
	case r.Meta != nil:
		return s.encode(metaKey, r.Meta)
	case r.Entry != nil:
		return s.encode(entryKey(r.Generation, r.Entry.Seq), r.Entry)
	default:
		return s.encode(snapshotKey(r.Snapshot.Generation), r.Snapshot)
	}
}

// entryKey returns the key of a log entry; keys sort by generation and sequence number.
func entryKey(generation, seq uint64) string { return fmt.Sprintf("entry/%08x/%016x", generation, seq) }

// snapshotKey returns the key of the snapshot of a generation.
func snapshotKey(generation uint64) string { return fmt.Sprintf("snapshot/%08x", generation) }

// encode writes a value as CBOR with a checksum.
func (s *Store) encode(key string, value any) error {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		return merry.Prepend(err, "durable: encode "+key)
	}
	return s.set(key, addChecksum(key, encoded))
}

// set writes a value, without a sync.
func (s *Store) set(key, value string) error {
	err := s.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(key, value, nil)
		return err
	})
	if err != nil {
		return merry.Prepend(err, "durable: write "+key)
	}
	s.sizeBytes += int64(len(key) + len(value) + recordOverheadBytes)
	return nil
}

// get reads a value and verifies its checksum; found is false if there is no such key.
func (s *Store) get(key string) (payload []byte, found bool, err error) {
	viewErr := s.db.View(func(tx *buntdb.Tx) error {
		value, err := tx.Get(key)
		if errors.Is(err, buntdb.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		if payload, found = verifyChecksum(key, value); !found {
			return s.damageError("checksum mismatch of " + key)
		}
		return nil
	})
	return payload, found, viewErr
}

// damageError returns a DamageError without an offset.
func (s *Store) damageError(cause string) *DamageError { return &DamageError{s.path, -1, cause} }

// sync makes all records written so far durable.
func (s *Store) sync() error {
	if err := fsync(s.syncFile); err != nil {
		return merry.Prepend(err, "durable: sync "+s.path)
	}
	s.syncMarked = false
	return nil
}
