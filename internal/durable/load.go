package durable

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/tidwall/buntdb"

	"nettlefold/internal/chain"
	"nettlefold/internal/replicated"
)

// Load returns the state that a replica starts from. State is nil and Entries is empty if nothing
// was written. It fails with a *DamageError if records are missing that must have been written.
func (s *Store) Load() (saved chain.PersistedState, err error) {
	payload, hasMeta, err := s.get(metaKey)
	if err != nil {
		return saved, err
	}
	if hasMeta {
		if err := cbor.Unmarshal(payload, &saved.Meta); err != nil {
			return saved, merry.Prepend(err, "durable: decode meta")
		}
	}
	payload, hasSnapshot, err := s.get(snapshotKey(saved.Meta.Generation))
	if err != nil {
		return saved, err
	}
	if hasSnapshot {
		var snapshot chain.Snapshot
		if err := cbor.Unmarshal(payload, &snapshot); err != nil {
			return saved, merry.Prepend(err, "durable: decode snapshot")
		}
		if saved.State, err = replicated.Decode(snapshot.State); err != nil {
			return saved, merry.Prepend(err, "durable: decode the snapshot's state")
		}
	}
	saved.Entries, err = s.loadEntries(saved.Meta.Generation)
	if err != nil {
		return saved, err
	}
	slices.SortFunc(saved.Entries, func(a, b chain.Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return saved, s.checkContiguous(&saved)
}

// checkContiguous checks that the loaded state has no gaps: the snapshot of a generation after the
// first is present, and the entries follow it without a gap. Entries that the snapshot already covers
// may remain and are ignored here.
func (s *Store) checkContiguous(saved *chain.PersistedState) error {
	next := uint64(1)
	if saved.State != nil {
		next = saved.State.Seq + 1
	} else if saved.Meta.Generation > 0 {
		return s.damageError(fmt.Sprintf("the snapshot of generation %d is missing", saved.Meta.Generation))
	}
	for _, e := range saved.Entries {
		if e.Seq > next {
			return s.damageError(fmt.Sprintf("entry %d is missing", next))
		}
		next = max(next, e.Seq+1)
	}
	return nil
}

// loadEntries returns the log entries of a generation.
func (s *Store) loadEntries(generation uint64) (entries []chain.Entry, err error) {
	first := entryKey(generation, 0)
	keyPrefix := first[:len("entry/")+9] // the generation's 8 digits and a slash
	viewErr := s.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendGreaterOrEqual("", first, func(key, value string) bool {
			if !strings.HasPrefix(key, keyPrefix) {
				return false
			}
			var entry chain.Entry
			payload, ok := verifyChecksum(key, value)
			if !ok {
				err = s.damageError("checksum mismatch of " + key)
				return false
			}
			if err = cbor.Unmarshal(payload, &entry); err != nil {
				return false
			}
			entries = append(entries, entry)
			return true
		})
	})
	return entries, errors.Join(err, viewErr)
}
