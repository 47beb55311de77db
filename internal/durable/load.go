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

// Load reads what a replica starts from. State is nil and Entries are empty where nothing was written. It fails with a *DamageError where
// what was written once is not there.
func (s *Store) Load() (saved chain.PersistedState, err error) {
	payload, written, err := s.get(metaKey)
	if err != nil {
		return saved, err
	}
	if written {
		if err := cbor.Unmarshal(payload, &saved.Meta); err != nil {
			return saved, merry.Prepend(err, "store: read meta")
		}
	}
	payload, taken, err := s.get(snapshotKey(saved.Meta.Generation))
	if err != nil {
		return saved, err
	}
	if taken {
		var snapshot chain.Snapshot
		if err := cbor.Unmarshal(payload, &snapshot); err != nil {
			return saved, merry.Prepend(err, "store: read snapshot")
		}
		if saved.State, err = replicated.Decode(snapshot.State); err != nil {
			return saved, merry.Prepend(err, "store: read snapshot")
		}
	}
	saved.Entries, err = s.entries(saved.Meta.Generation)
	if err != nil {
		return saved, err
	}
	slices.SortFunc(saved.Entries, func(a, b chain.Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return saved, s.complete(&saved)
}

// complete holds what was loaded to being without gaps: a state that was taken over whole is there, and the entries go on from it.
func (s *Store) complete(saved *chain.PersistedState) error {
	next := uint64(1)
	if saved.State != nil {
		next = saved.State.Seq + 1
	} else if saved.Meta.Generation > 0 {
		return s.damage(fmt.Sprintf("the snapshot of generation %d is missing", saved.Meta.Generation))
	}
	for _, e := range saved.Entries {
		if e.Seq > next {
			return s.damage(fmt.Sprintf("entry %d is missing", next))
		}
		next = max(next, e.Seq+1)
	}
	return nil
}

func (s *Store) entries(generation uint64) (entries []chain.Entry, err error) {
	from := entryKey(generation, 0)
	within := from[:len("entry/")+9]
	viewErr := s.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendGreaterOrEqual("", from, func(key, value string) bool {
			if !strings.HasPrefix(key, within) {
				return false
			}
			var e chain.Entry
			payload, ok := unseal(key, value)
			if !ok {
				err = s.damage("the checksum of " + key + " does not hold")
				return false
			}
			if err = cbor.Unmarshal(payload, &e); err != nil {
				return false
			}
			entries = append(entries, e)
			return true
		})
	})
	return entries, errors.Join(err, viewErr)
}
