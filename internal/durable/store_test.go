package durable

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/chain"
	"nettlefold/internal/replicated"
)

// chainRecord shortens the type for the tests of Inspect.
type chainRecord = chain.Record

// entryRecord returns a log entry with an operation of size bytes.
func entryRecord(seq uint64, size int) chain.Record {
	return chain.Record{Entry: &chain.Entry{Seq: seq, Epoch: 1, Operation: []byte(fmt.Sprintf("%0*d", size, seq))}, Generation: 0}
}

// metaRecord returns metadata with a promise for a round.
func metaRecord(round uint64) chain.Record {
	return chain.Record{Meta: &chain.Meta{Identity: "a", View: chain.View{Epoch: 1}, Promised: chain.Ballot{Round: round, Proposer: "a"}}}
}

// openStore opens the store in a directory.
func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir)
	require.NoError(t, err)
	return s
}

// loadStore loads the contents of a store.
func loadStore(t *testing.T, s *Store) chain.PersistedState {
	t.Helper()
	saved, err := s.Load()
	require.NoError(t, err)
	return saved
}

// singleFile returns the path of the only file in a directory.
func singleFile(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	require.Len(t, files, 1)
	return files[0]
}

// TestWriteAndLoad: written records are loaded after the store is reopened.
func TestWriteAndLoad(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	require.NoError(t, s.Write([]chain.Record{metaRecord(3), entryRecord(1, 10), entryRecord(2, 10)}))
	s.Close()
	s = openStore(t, dir)
	defer s.Close()
	saved := loadStore(t, s)
	require.Equal(t, uint64(3), saved.Meta.Promised.Round)
	require.Len(t, saved.Entries, 2)
	require.Equal(t, uint64(2), saved.Entries[1].Seq)
}

// TestPowerLossDuringWrite truncates, zeroes or corrupts the unsynced part of a file at each of its
// bytes. Synced records must remain, and of the rest a prefix.
func TestPowerLossDuringWrite(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	require.NoError(t, s.Write([]chain.Record{metaRecord(1), entryRecord(1, 40)}))
	path := singleFile(t, dir)
	synced, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, s.Write([]chain.Record{entryRecord(2, 60), metaRecord(2), entryRecord(3, 60)}))
	full, err := os.ReadFile(path) // without the marker that follows the sync
	require.NoError(t, err)
	s.Close()
	random := rand.New(rand.NewPCG(1, 2))
	for at := len(synced); at < len(full); at++ {
		truncated := full[:at]
		zeroed := append([]byte(nil), full...)
		for i := at; i < min(at+30, len(zeroed)); i++ {
			zeroed[i] = 0
		}
		corrupted := append([]byte(nil), full...)
		corrupted[at] ^= byte(1 + random.IntN(255))
		for name, text := range map[string][]byte{"truncated": truncated, "zeroed": zeroed, "corrupted": corrupted} {
			after := filepath.Join(t.TempDir())
			require.NoError(t, os.WriteFile(filePath(after, 1), text, 0o644))
			s, err := Open(after)
			require.NoError(t, err, "%s at %d", name, at)
			saved, err := s.Load()
			s.Close()
			require.NoError(t, err, "%s at %d", name, at)
			require.NotEmpty(t, saved.Entries, "%s at %d", name, at)
			require.Equal(t, uint64(1), saved.Entries[0].Seq)
			if len(saved.Entries) == 3 {
				require.Equal(t, uint64(2), saved.Meta.Promised.Round, "%s at %d: a later record without an earlier one", name, at)
			}
			if saved.Meta.Promised.Round == 2 {
				require.GreaterOrEqual(t, len(saved.Entries), 2, "%s at %d: a later record without an earlier one", name, at)
			}
		}
	}
}

// TestWriteAfterTornTail: a torn tail must be truncated, or it would precede and hide the next
// write.
func TestWriteAfterTornTail(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	require.NoError(t, s.Write([]chain.Record{metaRecord(1), entryRecord(1, 40)}))
	s.Close()
	path := singleFile(t, dir)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, append(text, "*3\r\n$3\r\nset\r\n$9"...), 0o644))
	s = openStore(t, dir)
	require.NoError(t, s.Write([]chain.Record{entryRecord(2, 40)}))
	s.Close()
	s = openStore(t, dir)
	defer s.Close()
	saved := loadStore(t, s)
	require.Len(t, saved.Entries, 2)
}

// TestPowerLossDuringCompaction truncates the new file of a compaction at many lengths, with the
// old file still present.
func TestPowerLossDuringCompaction(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	state := replicated.New()
	state.Apply(1, &replicated.Operation{Kind: replicated.KindEvacuate, Zone: "z"})
	require.NoError(t, s.Write([]chain.Record{metaRecord(7), {Snapshot: &chain.Snapshot{State: state.Encode()}}, entryRecord(2, 50)}))
	live, err := s.liveRecords()
	require.NoError(t, err)
	old, err := os.ReadFile(s.path)
	require.NoError(t, err)
	s.compact(live)
	s.Close()
	compacted, err := os.ReadFile(singleFile(t, dir))
	require.NoError(t, err)
	require.Equal(t, 2, s.number)
	for at := 0; at <= len(compacted); at += 7 {
		after := t.TempDir()
		require.NoError(t, os.WriteFile(filePath(after, 1), old, 0o644))
		require.NoError(t, os.WriteFile(filePath(after, 2), compacted[:at], 0o644))
		s := openStore(t, after)
		saved := loadStore(t, s)
		require.Equal(t, uint64(7), saved.Meta.Promised.Round)
		require.NotNil(t, saved.State)
		require.Contains(t, saved.State.Evacuated, "z")
		require.Len(t, saved.Entries, 1)
		s.Close()
	}
}

// TestCompactionBoundsDiskUse writes 3,000 entries of 20 KiB, 60 MB in all. The files must never
// exceed 32 MiB.
func TestCompactionBoundsDiskUse(t *testing.T) {
	const changes, size, snapshotEvery = 3000, 20 << 10, 48
	dir := t.TempDir()
	s := openStore(t, dir)
	defer s.Close()
	state := replicated.New()
	maxBytes := int64(0)
	for seq := uint64(1); seq <= changes; seq++ {
		records := []chain.Record{entryRecord(seq, size)}
		if seq%snapshotEvery == 0 {
			state.Seq = seq
			records = append(records, chain.Record{Snapshot: &chain.Snapshot{State: state.Encode()}})
		}
		require.NoError(t, s.Write(records))
		files, err := filepath.Glob(filepath.Join(dir, "*"))
		require.NoError(t, err)
		sum := int64(0)
		for _, f := range files {
			info, err := os.Stat(f)
			require.NoError(t, err)
			sum += info.Size()
		}
		maxBytes = max(maxBytes, sum)
	}
	require.Less(t, maxBytes, int64(32<<20), "bytes on disk")
}

// TestBitFlipsAreDetected flips each bit of a small store that was closed. Open and Inspect must
// report the damage at the same offset, and the file must stay as it was. Only the last sync marker
// may be lost silently, as it holds no data.
func TestBitFlipsAreDetected(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	state := replicated.New()
	state.Seq = 2
	require.NoError(t, s.Write([]chain.Record{metaRecord(1), entryRecord(1, 20)}))
	require.NoError(t, s.Write([]chain.Record{entryRecord(2, 20), {Snapshot: &chain.Snapshot{State: state.Encode()}}}))
	require.NoError(t, s.Write([]chain.Record{entryRecord(3, 20), metaRecord(5)}))
	path := singleFile(t, dir)
	unmarked, err := os.ReadFile(path)
	require.NoError(t, err)
	s.Close()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Greater(t, len(text), len(unmarked))
	for at := range text {
		for bit := range 8 {
			damaged := append([]byte(nil), text...)
			damaged[at] ^= 1 << bit
			if at >= len(unmarked) {
				require.False(t, scanLog(damaged).damaged, "bit %d at %d", bit, at)
				continue
			}
			result := scanLog(damaged)
			require.True(t, result.damaged, "bit %d at %d", bit, at)
			require.LessOrEqual(t, result.validBytes, int64(at))
			if bit != 0 {
				continue
			}
			require.NoError(t, os.WriteFile(path, damaged, 0o644))
			_, err := Open(dir)
			var damage *DamageError
			require.ErrorAs(t, err, &damage)
			report, err := Inspect(dir)
			require.NoError(t, err)
			var inspected *DamageError
			require.ErrorAs(t, report.Verify(), &inspected)
			require.Equal(t, inspected.Offset, damage.Offset, "Inspect and Open must report the same offset")
			after, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, damaged, after)
		}
	}
}

// TestQuarantine: the file of a damaged store is renamed, the directory accepts a new store, and
// the file of an earlier quarantine is removed.
func TestQuarantine(t *testing.T) {
	dir := t.TempDir()
	for round := uint64(1); round <= 2; round++ {
		s := openStore(t, dir)
		require.NoError(t, s.Write([]chain.Record{metaRecord(round)}))
		s.Close()
		require.NoError(t, Quarantine(dir))
		require.Equal(t, filepath.Join(dir, "damaged-state-000001.db"), singleFile(t, dir))
		s = openStore(t, dir)
		saved := loadStore(t, s)
		require.Empty(t, saved.Meta.Identity)
		s.Close()
		require.NoError(t, os.Remove(filePath(dir, 1)))
	}
}

// TestPowerLossDuringQuarantine: if the power is lost before the rename is durable, the next start
// finds the damage again.
func TestPowerLossDuringQuarantine(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	require.NoError(t, s.Write([]chain.Record{metaRecord(1), entryRecord(1, 50)}))
	s.Close()
	path := singleFile(t, dir)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	text[len(text)/2] ^= 4
	require.NoError(t, os.WriteFile(path, text, 0o644))
	for range 2 {
		_, err := Open(dir)
		require.Error(t, err)
		require.NoError(t, Quarantine(dir))
		require.NoError(t, os.Rename(filepath.Join(dir, damagedPrefix+filepath.Base(path)), path))
	}
}

// TestMissingRecordsAreDamage: a gap in the entries or a missing snapshot is reported as damage.
func TestMissingRecordsAreDamage(t *testing.T) {
	for name, records := range map[string][]chain.Record{
		"an entry":   {metaRecord(1), entryRecord(1, 9), entryRecord(3, 9)},
		"the first":  {metaRecord(1), entryRecord(2, 9)},
		"a snapshot": {{Meta: &chain.Meta{Identity: "a", Generation: 2}}},
	} {
		dir := t.TempDir()
		s := openStore(t, dir)
		require.NoError(t, s.Write(records))
		_, err := s.Load()
		var damage *DamageError
		require.ErrorAs(t, err, &damage, name)
		s.Close()
	}
}

// TestOpenSyncsUnsyncedRecords: a process that is killed between a write and its sync leaves
// records that the next process reads. As the power may be lost after that, Open must sync them
// first, and fail if it cannot.
func TestOpenSyncsUnsyncedRecords(t *testing.T) {
	defer func() { fsync = (*os.File).Sync }()
	dir := t.TempDir()
	s := openStore(t, dir)
	require.NoError(t, s.Write([]chain.Record{metaRecord(1), entryRecord(1, 10)}))
	fsync = func(*os.File) error { return errors.New("killed here") }
	require.Error(t, s.Write([]chain.Record{entryRecord(2, 10)}))
	s.close()
	_, err := Open(dir)
	require.Error(t, err, "Open must fail if the file cannot be synced")
	synced := 0
	fsync = func(f *os.File) error {
		synced++
		return f.Sync()
	}
	s = openStore(t, dir)
	defer s.Close()
	require.Equal(t, 1, synced, "syncs before the first read")
	saved := loadStore(t, s)
	require.Len(t, saved.Entries, 2)
}

// TestRewrite: after a failed write all live records are written to a new file.
func TestRewrite(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	require.NoError(t, s.Write([]chain.Record{metaRecord(3), entryRecord(1, 10), entryRecord(2, 10)}))
	require.NoError(t, s.Rewrite())
	require.Equal(t, filePath(dir, 2), singleFile(t, dir))
	s.Close()
	s = openStore(t, dir)
	defer s.Close()
	saved := loadStore(t, s)
	require.Equal(t, uint64(3), saved.Meta.Promised.Round)
	require.Len(t, saved.Entries, 2)
}
