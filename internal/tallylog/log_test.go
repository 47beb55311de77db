package tallylog

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/tally"
)

const (
	firstOrigin = tally.Origin(7)
	nextOrigin  = tally.Origin(8)
)

// options are those of a first start, or of a later one where the directory has a log.
func testOptions(dir string) Options {
	origin := firstOrigin
	if _, err := os.Stat(filepath.Join(dir, logFileName)); err == nil {
		origin = nextOrigin
	}
	return Options{Complete: true, NewOrigin: func() tally.Origin { return origin }}
}

// batch has one add of this disk's own.
func singleAddBatch(number uint64) *tally.Batch {
	return &tally.Batch{Runs: []tally.Run{{Origin: firstOrigin, First: number, Adds: []tally.Add{{ID: fmt.Sprint("id", number), Tally: "t", Amount: 1}}}}}
}

func openLog(t *testing.T, dir string) (*Log, tally.SavedState) {
	t.Helper()
	l, saved, err := Open(dir, testOptions(dir))
	require.NoError(t, err)
	t.Cleanup(l.Close)
	return l, saved
}

// written gives the file of a log of so many adds, and the size that it had after each.
func writeLog(t *testing.T, adds int) (text []byte, sizes []int64) {
	t.Helper()
	dir := t.TempDir()
	l, _ := openLog(t, dir)
	sizes = append(sizes, l.Size())
	for n := range adds {
		require.NoError(t, l.Append(singleAddBatch(uint64(n+1))))
		sizes = append(sizes, l.Size())
	}
	text, err := os.ReadFile(filepath.Join(dir, logFileName))
	require.NoError(t, err)
	return text, sizes
}

// reopened opens a directory whose log has a text. Nothing needs to last, so nothing is synced.
func reopen(t *testing.T, text []byte) (tally.SavedState, error) {
	t.Helper()
	fsync = func(*os.File) error { return nil }
	defer func() { fsync = (*os.File).Sync }()
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, logFileName), text, 0o644))
	l, saved, err := Open(dir, testOptions(dir))
	require.NotNil(t, l)
	l.Close()
	return saved, err
}

func TestAppendAndReopen(t *testing.T) {
	text, _ := writeLog(t, 3)
	saved, err := reopen(t, text)
	require.NoError(t, err)
	require.Equal(t, int64(3), saved.Set.Total("t"))
	require.Equal(t, []tally.Origin{firstOrigin}, saved.Origins)
	require.True(t, saved.Complete)
}

// TestPowerLostAtEveryByteOfAnAppend: whatever is left of the last write, all before it is read, and the numbers of a torn one are not
// gone on with.
func TestTornAppendAtEveryByte(t *testing.T) {
	text, sizes := writeLog(t, 3)
	for end := sizes[2]; end < sizes[3]; end++ {
		for _, hole := range []bool{false, true} {
			left := text[:end]
			if hole {
				left = append(append([]byte{}, text[:sizes[2]]...), make([]byte, end-sizes[2])...)
			}
			saved, err := reopen(t, left)
			require.NoError(t, err, "%d bytes", end)
			require.Equal(t, int64(2), saved.Set.Total("t"))
			require.Equal(t, end > sizes[2], hasNewOrigin(saved))
		}
	}
}

// TestDamageIsToldFromATornEnd: each bit of what was synced before the last write, flipped, is damage; the log starts anew and knows that
// it misses what there was.
func TestCorruptionBeforeLastFrame(t *testing.T) {
	text, sizes := writeLog(t, 3)
	for at := range sizes[2] {
		for bit := range 8 {
			damaged := append([]byte{}, text...)
			damaged[at] ^= 1 << bit
			saved, err := reopen(t, damaged)
			var damage *CorruptionError
			require.ErrorAs(t, err, &damage, "bit %d of byte %d", bit, at)
			require.Zero(t, saved.Set.Len())
			require.False(t, saved.Complete)
		}
	}
}

// TestDamageOfTheLastWriteIsCutOff: nothing tells it from a torn end, but its numbers are not used again.
func TestCorruptionOfLastFrame(t *testing.T) {
	text, sizes := writeLog(t, 3)
	for at := sizes[2]; at < sizes[3]; at++ {
		damaged := append([]byte{}, text...)
		damaged[at] ^= 1
		saved, err := reopen(t, damaged)
		require.NoError(t, err)
		require.Equal(t, int64(2), saved.Set.Total("t"))
		require.True(t, hasNewOrigin(saved))
	}
}

// TestAFailedSyncIsTakenBack: nothing is appended behind a write that failed, and what it left is gone once the log has recovered.
func TestRecoverAfterFailedSync(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir)
	require.NoError(t, l.Append(singleAddBatch(1)))
	fails := errors.New("no")
	fsync = func(*os.File) error { return fails }
	t.Cleanup(func() { fsync = (*os.File).Sync })
	require.ErrorIs(t, l.Append(singleAddBatch(2)), fails)
	require.ErrorIs(t, l.Recover(), fails)
	require.Error(t, l.Append(singleAddBatch(2)))
	fsync = (*os.File).Sync
	require.NoError(t, l.Recover())
	require.NoError(t, l.Append(singleAddBatch(2)))
	_, saved := openLog(t, dir)
	require.Equal(t, int64(2), saved.Set.Total("t"))
	require.False(t, hasNewOrigin(saved))
}

// TestWhatAKilledProcessLeftIsSyncedBeforeItIsRead: the end, of which no later write says that it was synced, is written and synced once more.
func TestOpenSyncsUnconfirmedTail(t *testing.T) {
	text, _ := writeLog(t, 2)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, logFileName), text, 0o644))
	fails := errors.New("no")
	fsync = func(*os.File) error { return fails }
	t.Cleanup(func() { fsync = (*os.File).Sync })
	_, _, err := Open(dir, testOptions(dir))
	require.ErrorIs(t, err, fails)
}

func TestCompletePersists(t *testing.T) {
	dir := t.TempDir()
	missing := testOptions(dir)
	missing.Complete = false
	l, saved, err := Open(dir, missing)
	require.NoError(t, err)
	require.False(t, saved.Complete)
	l.Close()
	l, saved = openLog(t, dir)
	require.False(t, saved.Complete, "also after another start")
	require.NoError(t, l.Append(&tally.Batch{Complete: true}))
	_, saved = openLog(t, dir)
	require.True(t, saved.Complete)
}

// TestSetAsideAndNotBegunAnew: a start after the power went in between still knows that something is missing.
func TestOpenAfterInterruptedQuarantine(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, quarantineFileName), []byte("damaged"), 0o644))
	_, saved := openLog(t, dir)
	require.False(t, saved.Complete)
}

// renewed tells whether adds are taken under another origin than the file's first.
func hasNewOrigin(saved tally.SavedState) bool {
	return saved.Origins[len(saved.Origins)-1] != firstOrigin
}

// TestATornEndIsNotForgottenByTheNextStart: the numbers of what was cut off are not used again, also where nothing was written between two starts.
func TestNewOriginAfterTornTailPersists(t *testing.T) {
	text, _ := writeLog(t, 3)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, logFileName), text[:len(text)-1], 0o644))
	for range 2 {
		l, saved := openLog(t, dir)
		require.True(t, hasNewOrigin(saved))
		l.Close()
	}
}
