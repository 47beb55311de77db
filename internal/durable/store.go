// Package durable keeps a replica's records on disk, in buntdb's log. It adds what that log leaves open: it syncs and heeds the
// result, checks every value's checksum, cuts off what was being written when the power went, tells that from damage, and compacts into
// a new file, which is lasting before the old one goes, instead of renaming over it.
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
	completeKey   = "complete" // the last record of a compaction, and the first of a new store
	filePrefix    = "state-"
	fileSuffix    = ".db"
	damagedPrefix = "damaged-"

	// compactAbove is the least size of a file that is compacted, and compactRatio how much more than what is live it must hold.
	minCompactBytes = 4 << 20
	minCompactRatio = 4
)

// Store is the open store of one directory.
type Store struct {
	dir        string
	number     int
	path       string
	db         *buntdb.DB
	syncFile   *os.File // for syncing what db writes
	sizeBytes  int64    // of the file, by what was written
	syncMarked bool     // nothing was synced since the newest mark
	liveBytes  int64    // of it, what a compaction would keep, when last counted
}

// Open opens the store of a directory, and makes one where there is none. It fails with a *DamageError where the newest file is damaged.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, merry.Prepend(err, "store: make directory")
	}
	numbers, err := listNumbers(dir)
	if err != nil {
		return nil, merry.Prepend(err, "store: list")
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

// Present tells whether a directory holds a store, whole or not.
func Exists(dir string) bool {
	numbers, err := listNumbers(dir)
	return err == nil && len(numbers) > 0
}

// list gives the numbers of the files there are, lowest first.
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

func filePath(dir string, number int) string {
	return filepath.Join(dir, fmt.Sprintf("%s%06d%s", filePrefix, number, fileSuffix))
}

// openFile opens a file whose making was completed; nil if it was not.
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

// fsync makes a file's contents lasting; tests have it fail.
var fsync = (*os.File).Sync

// repair cuts off what was being written when the power went, and syncs what is left: a process that was killed may have written it without
// the sync, and whoever reads it now relies on it. It fails with a *DamageError, and changes nothing, where what cannot be read was synced
// once.
func repairFile(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return merry.Prepend(err, "store: read "+path)
	}
	found := scanLog(text)
	if found.damaged {
		return &DamageError{path, found.validBytes, found.reason}
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0o644)
	if err != nil {
		return merry.Prepend(err, "store: repair "+path)
	}
	defer file.Close()
	if found.reason != "" {
		if err := file.Truncate(found.validBytes); err != nil {
			return merry.Prepend(err, "store: repair "+path)
		}
	}
	return merry.Prepend(fsync(file), "store: repair "+path)
}

// attach opens a file as it is.
func openDatabase(dir string, number int) (*Store, error) {
	s := &Store{dir: dir, number: number, path: filePath(dir, number)}
	db, err := buntdb.Open(s.path)
	if err != nil {
		return nil, merry.Prepend(err, "store: open "+s.path)
	}
	s.db = db
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		db.Close()
		return nil, merry.Prepend(err, "store: configure "+s.path)
	}
	if s.syncFile, err = os.OpenFile(s.path, os.O_RDWR, 0o644); err != nil {
		db.Close()
		return nil, merry.Prepend(err, "store: open "+s.path)
	}
	if info, err := s.syncFile.Stat(); err == nil {
		s.sizeBytes = info.Size()
	}
	s.liveBytes = s.sizeBytes
	return s, nil
}

// create makes a new file of what is to be kept, lasting when it returns.
func createFile(dir string, number int, kept map[string]string) (*Store, error) {
	s, err := openDatabase(dir, number)
	if err != nil {
		return nil, err
	}
	keys := make([]string, 0, len(kept))
	for key := range kept {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if err := s.set(key, kept[key]); err != nil {
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

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return merry.Prepend(err, "store: sync directory")
	}
	defer d.Close()
	return merry.Prepend(fsync(d), "store: sync directory")
}

func (s *Store) removeOtherFiles(numbers []int) {
	for _, n := range numbers {
		if n != s.number {
			os.Remove(filePath(s.dir, n))
		}
	}
}

// Close closes the store; nothing is lost by not doing so.
func (s *Store) Close() {
	s.MarkSynced() // what cannot be marked is only not marked
	s.close()
}

func (s *Store) close() {
	s.db.Close()
	s.syncFile.Close()
}

func (s *Store) discard() {
	s.close()
	os.Remove(s.path)
}

// Mark notes behind what was synced that it was. Damage before a mark is known for what it is; what is not marked yet is taken for torn
// where it cannot be read. The mark itself need not last.
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

// SetAside renames the files of a damaged store, for whoever wants to look at them, and removes those set aside before. The directory then
// holds no store.
func Quarantine(dir string) error {
	numbers, err := listNumbers(dir)
	if err != nil {
		return merry.Prepend(err, "store: set aside")
	}
	old, err := filepath.Glob(filepath.Join(dir, damagedPrefix+"*"))
	if err != nil {
		return merry.Prepend(err, "store: set aside")
	}
	for _, path := range old {
		os.Remove(path)
	}
	for _, n := range numbers {
		path := filePath(dir, n)
		if err := os.Rename(path, filepath.Join(dir, damagedPrefix+filepath.Base(path))); err != nil {
			return merry.Prepend(err, "store: set aside "+path)
		}
	}
	return syncDir(dir)
}

// Write makes records durable, in their order. After an error none of them may be relied on, and what the store holds is a prefix.
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

func entryKey(generation, seq uint64) string { return fmt.Sprintf("entry/%08x/%016x", generation, seq) }

func snapshotKey(generation uint64) string { return fmt.Sprintf("snapshot/%08x", generation) }

func (s *Store) encode(key string, value any) error {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		return merry.Prepend(err, "store: encode "+key)
	}
	return s.set(key, addChecksum(key, encoded))
}

func (s *Store) set(key, value string) error {
	err := s.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(key, value, nil)
		return err
	})
	if err != nil {
		return merry.Prepend(err, "store: write "+key)
	}
	s.sizeBytes += int64(len(key) + len(value) + 40)
	return nil
}

// get reads a value; there is none without an error.
func (s *Store) get(key string) (payload []byte, there bool, err error) {
	viewErr := s.db.View(func(tx *buntdb.Tx) error {
		value, err := tx.Get(key)
		if errors.Is(err, buntdb.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		if payload, there = verifyChecksum(key, value); !there {
			return s.damageError("the checksum of " + key + " does not hold")
		}
		return nil
	})
	return payload, there, viewErr
}

func (s *Store) damageError(cause string) *DamageError { return &DamageError{s.path, -1, cause} }

func (s *Store) sync() error {
	if err := fsync(s.syncFile); err != nil {
		return merry.Prepend(err, "store: sync "+s.path)
	}
	s.syncMarked = false
	return nil
}
