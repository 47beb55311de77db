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

type chainRecord = chain.Record

func entry(seq uint64, size int) chain.Record {
	return chain.Record{Entry: &chain.Entry{Seq: seq, Epoch: 1, Operation: []byte(fmt.Sprintf("%0*d", size, seq))}, Generation: 0}
}

func meta(round uint64) chain.Record {
	return chain.Record{Meta: &chain.Meta{Identity: "a", View: chain.View{Epoch: 1}, Promised: chain.Ballot{Round: round, Proposer: "a"}}}
}

func open(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir)
	require.NoError(t, err)
	return s
}

func load(t *testing.T, s *Store) chain.PersistedState {
	t.Helper()
	saved, err := s.Load()
	require.NoError(t, err)
	return saved
}

func onlyFile(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	require.Len(t, files, 1)
	return files[0]
}

func TestWhatWasWrittenIsReadAgain(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	require.NoError(t, s.Write([]chain.Record{meta(3), entry(1, 10), entry(2, 10)}))
	s.Close()
	s = open(t, dir)
	defer s.Close()
	saved := load(t, s)
	require.Equal(t, uint64(3), saved.Meta.Promised.Round)
	require.Len(t, saved.Entries, 2)
	require.Equal(t, uint64(2), saved.Entries[1].Seq)
}

// TestPowerLostInEveryStepOfAWrite cuts, holes and garbles what was not synced, at every byte of it: what was synced stays, and what
// is left of the rest is a prefix.
func TestPowerLostInEveryStepOfAWrite(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	require.NoError(t, s.Write([]chain.Record{meta(1), entry(1, 40)}))
	path := onlyFile(t, dir)
	synced, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, s.Write([]chain.Record{entry(2, 60), meta(2), entry(3, 60)}))
	full, err := os.ReadFile(path) // without the mark that only comes after the sync
	require.NoError(t, err)
	s.Close()
	random := rand.New(rand.NewPCG(1, 2))
	for at := len(synced); at < len(full); at++ {
		cut := full[:at]
		hole := append([]byte(nil), full...)
		for i := at; i < min(at+30, len(hole)); i++ {
			hole[i] = 0
		}
		garbled := append([]byte(nil), full...)
		garbled[at] ^= byte(1 + random.IntN(255))
		for name, text := range map[string][]byte{"cut": cut, "hole": hole, "garbled": garbled} {
			after := filepath.Join(t.TempDir())
			require.NoError(t, os.WriteFile(pathOf(after, 1), text, 0o644))
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

// TestAWriteAfterATornEndIsKept: the end that was cut off must not lie before what is written next.
func TestAWriteAfterATornEndIsKept(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	require.NoError(t, s.Write([]chain.Record{meta(1), entry(1, 40)}))
	s.Close()
	path := onlyFile(t, dir)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, append(text, "*3\r\n$3\r\nset\r\n$9"...), 0o644))
	s = open(t, dir)
	require.NoError(t, s.Write([]chain.Record{entry(2, 40)}))
	s.Close()
	s = open(t, dir)
	defer s.Close()
	saved := load(t, s)
	require.Len(t, saved.Entries, 2)
}

// TestPowerLostInACompaction leaves the new file in every state of its making beside the old one.
func TestPowerLostInACompaction(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	state := replicated.New()
	state.Apply(1, &replicated.Operation{Kind: replicated.KindEvacuate, Zone: "z"})
	require.NoError(t, s.Write([]chain.Record{meta(7), {Snapshot: &chain.Snapshot{State: state.Encode()}}, entry(2, 50)}))
	kept, err := s.kept()
	require.NoError(t, err)
	old, err := os.ReadFile(s.path)
	require.NoError(t, err)
	s.compact(kept)
	s.Close()
	made, err := os.ReadFile(onlyFile(t, dir))
	require.NoError(t, err)
	require.Equal(t, 2, s.number)
	for at := 0; at <= len(made); at += 7 {
		after := t.TempDir()
		require.NoError(t, os.WriteFile(pathOf(after, 1), old, 0o644))
		require.NoError(t, os.WriteFile(pathOf(after, 2), made[:at], 0o644))
		s := open(t, after)
		saved := load(t, s)
		require.Equal(t, uint64(7), saved.Meta.Promised.Round)
		require.NotNil(t, saved.State)
		require.Contains(t, saved.State.Evacuated, "z")
		require.Len(t, saved.Entries, 1)
		s.Close()
	}
}

// TestManyChangesStaySmall writes 3,000 changes of 20 KB, 60 MB in all: what the disk holds stays level.
func TestManyChangesStaySmall(t *testing.T) {
	const changes, size, snapshotEvery = 3000, 20 << 10, 48
	dir := t.TempDir()
	s := open(t, dir)
	defer s.Close()
	state := replicated.New()
	most := int64(0)
	for seq := uint64(1); seq <= changes; seq++ {
		records := []chain.Record{entry(seq, size)}
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
		most = max(most, sum)
	}
	require.Less(t, most, int64(32<<20))
}

// TestDamageAnywhere flips each bit of each byte of a small store that was closed in order: the damage is found where it is, by the start as
// by the inspection, and the file is left as it was. Only the last mark may be lost without a word, as it holds nothing.
func TestDamageAnywhere(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	state := replicated.New()
	state.Seq = 2
	require.NoError(t, s.Write([]chain.Record{meta(1), entry(1, 20)}))
	require.NoError(t, s.Write([]chain.Record{entry(2, 20), {Snapshot: &chain.Snapshot{State: state.Encode()}}}))
	require.NoError(t, s.Write([]chain.Record{entry(3, 20), meta(5)}))
	path := onlyFile(t, dir)
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
				require.False(t, scan(damaged).damaged, "bit %d at %d", bit, at)
				continue
			}
			found := scan(damaged)
			require.True(t, found.damaged, "bit %d at %d", bit, at)
			require.LessOrEqual(t, found.whole, int64(at))
			if bit != 0 {
				continue
			}
			require.NoError(t, os.WriteFile(path, damaged, 0o644))
			_, err := Open(dir)
			var damage *DamageError
			require.ErrorAs(t, err, &damage)
			report, err := Inspect(dir)
			require.NoError(t, err)
			var verified *DamageError
			require.ErrorAs(t, report.Fault(), &verified)
			require.Equal(t, verified.Offset, damage.Offset, "the start and the verification name the same place")
			after, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, damaged, after)
		}
	}
}

// TestSetAside: a damaged store is kept under another name, and the directory takes a new one; one that was set aside before goes.
func TestSetAside(t *testing.T) {
	dir := t.TempDir()
	for round := uint64(1); round <= 2; round++ {
		s := open(t, dir)
		require.NoError(t, s.Write([]chain.Record{meta(round)}))
		s.Close()
		require.NoError(t, SetAside(dir))
		require.Equal(t, filepath.Join(dir, "damaged-state-000001.db"), onlyFile(t, dir))
		s = open(t, dir)
		saved := load(t, s)
		require.Empty(t, saved.Meta.Identity)
		s.Close()
		require.NoError(t, os.Remove(pathOf(dir, 1)))
	}
}

// TestLostSetAside: the power goes before the new name lasts; the damage is found again.
func TestLostSetAside(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	require.NoError(t, s.Write([]chain.Record{meta(1), entry(1, 50)}))
	s.Close()
	path := onlyFile(t, dir)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	text[len(text)/2] ^= 4
	require.NoError(t, os.WriteFile(path, text, 0o644))
	for range 2 {
		_, err := Open(dir)
		require.Error(t, err)
		require.NoError(t, SetAside(dir))
		require.NoError(t, os.Rename(filepath.Join(dir, asidePrefix+filepath.Base(path)), path))
	}
}

// TestGapsAreDamage: what was written once and is not there is told, however it came to be lost.
func TestGapsAreDamage(t *testing.T) {
	for name, records := range map[string][]chain.Record{
		"an entry":   {meta(1), entry(1, 9), entry(3, 9)},
		"the first":  {meta(1), entry(2, 9)},
		"a snapshot": {{Meta: &chain.Meta{Identity: "a", Generation: 2}}},
	} {
		dir := t.TempDir()
		s := open(t, dir)
		require.NoError(t, s.Write(records))
		_, err := s.Load()
		var damage *DamageError
		require.ErrorAs(t, err, &damage, name)
		s.Close()
	}
}

// TestWhatAKilledProcessLeftIsSyncedBeforeItIsRead: a process that is killed between the write and its sync leaves records that the next one
// reads; the power may go after that. They are relied on only once they are synced.
func TestWhatAKilledProcessLeftIsSyncedBeforeItIsRead(t *testing.T) {
	defer func() { fsync = (*os.File).Sync }()
	dir := t.TempDir()
	s := open(t, dir)
	require.NoError(t, s.Write([]chain.Record{meta(1), entry(1, 10)}))
	fsync = func(*os.File) error { return errors.New("killed here") }
	require.Error(t, s.Write([]chain.Record{entry(2, 10)}))
	s.close()
	_, err := Open(dir)
	require.Error(t, err, "what cannot be synced is not read")
	synced := 0
	fsync = func(f *os.File) error {
		synced++
		return f.Sync()
	}
	s = open(t, dir)
	defer s.Close()
	require.Equal(t, 1, synced, "before anything is read")
	saved := load(t, s)
	require.Len(t, saved.Entries, 2)
}

// TestRenew: after a write that failed, what is kept goes into a file of its own.
func TestRenew(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	require.NoError(t, s.Write([]chain.Record{meta(3), entry(1, 10), entry(2, 10)}))
	require.NoError(t, s.Renew())
	require.Equal(t, pathOf(dir, 2), onlyFile(t, dir))
	s.Close()
	s = open(t, dir)
	defer s.Close()
	saved := load(t, s)
	require.Equal(t, uint64(3), saved.Meta.Promised.Round)
	require.Len(t, saved.Entries, 2)
}
