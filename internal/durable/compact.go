package durable

import (
	"os"
	"slices"
	"strings"

	"github.com/tidwall/buntdb"

	"nettlefold/internal/chain"
)

// tidy drops what a new snapshot covers, and compacts a file that holds much else. What fails here is tried again another time.
func (s *Store) compactIfNeeded(records []chain.Record) {
	if !slices.ContainsFunc(records, func(r chain.Record) bool { return r.Snapshot != nil }) {
		return
	}
	kept, err := s.liveRecords()
	if err != nil {
		return
	}
	s.liveBytes = 0
	for key, value := range kept {
		s.liveBytes += int64(len(key) + len(value) + 40)
	}
	if s.sizeBytes > max(minCompactBytes, minCompactRatio*s.liveBytes) {
		s.compact(kept) // on the old file all goes on if it fails
	}
}

// Renew writes all that is kept into a new file. After a write or a sync that failed nothing tells what the old one holds for sure.
func (s *Store) Rewrite() error {
	kept, err := s.liveRecords()
	if err != nil {
		return err
	}
	return s.compact(kept)
}

// kept is what the newest state needs: meta, its generation's snapshot, and the entries that follow it.
func (s *Store) liveRecords() (map[string]string, error) {
	saved, err := s.Load()
	if err != nil {
		return nil, err
	}
	generation, after := saved.Meta.Generation, uint64(0)
	if saved.State != nil {
		after = saved.State.Seq
	}
	least := entryKey(generation, after+1)
	kept := map[string]string{}
	err = s.db.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(key, value string) bool {
			if key == metaKey || key == snapshotKey(generation) ||
				strings.HasPrefix(key, least[:len("entry/")+8]) && key >= least {
				kept[key] = value
			}
			return true
		})
	})
	return kept, err
}

func (s *Store) compact(kept map[string]string) error {
	next, err := createFile(s.dir, s.number+1, kept)
	if err != nil {
		return err
	}
	s.close()
	os.Remove(s.path)
	*s = *next
	return nil
}
