package durable

import (
	"os"
	"slices"
	"strings"

	"github.com/tidwall/buntdb"

	"nettlefold/internal/chain"
)

// compactIfNeeded counts the live records after a new snapshot, and compacts the file if it is
// large and mostly obsolete. Errors are ignored because compaction is optional: the old file stays
// in use, and the next snapshot tries again.
func (s *Store) compactIfNeeded(records []chain.Record) {
	if !slices.ContainsFunc(records, func(r chain.Record) bool { return r.Snapshot != nil }) {
		return
	}
	live, err := s.liveRecords()
	if err != nil {
		return
	}
	s.liveBytes = 0
	for key, value := range live {
		s.liveBytes += int64(len(key) + len(value) + recordOverheadBytes)
	}
	if s.sizeBytes > max(minCompactBytes, minCompactRatio*s.liveBytes) {
		s.compact(live)
	}
}

// Rewrite writes all live records into a new file. After a failed write or sync it is unknown what
// the old file holds.
func (s *Store) Rewrite() error {
	live, err := s.liveRecords()
	if err != nil {
		return err
	}
	return s.compact(live)
}

// liveRecords returns the records that the newest state needs: the metadata, the snapshot of its
// generation, and the entries that follow the snapshot.
func (s *Store) liveRecords() (map[string]string, error) {
	saved, err := s.Load()
	if err != nil {
		return nil, err
	}
	generation, snapshotSeq := saved.Meta.Generation, uint64(0)
	if saved.State != nil {
		snapshotSeq = saved.State.Seq
	}
	firstKey := entryKey(generation, snapshotSeq+1) // "entry/" and 8 digits are the generation's prefix
	live := map[string]string{}
	err = s.db.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(key, value string) bool {
			if key == metaKey || key == snapshotKey(generation) ||
				strings.HasPrefix(key, firstKey[:len("entry/")+8]) && key >= firstKey {
				live[key] = value
			}
			return true
		})
	})
	return live, err
}

// compact replaces the file by a new one with the live records.
func (s *Store) compact(live map[string]string) error {
	next, err := createFile(s.dir, s.number+1, live)
	if err != nil {
		return err
	}
	s.close()
	os.Remove(s.path)
	*s = *next
	return nil
}
