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

// testOptions returns the options of a first start or, if the directory has a log, of a later one.
func testOptions(dir string) Options {
	origin := firstOrigin
	if _, err := os.Stat(filepath.Join(dir, logFileName)); err == nil {
		origin = nextOrigin
	}
	return Options{Complete: true, NewOrigin: func() tally.Origin { return origin }}
}

// singleAddBatch returns a batch with one add of amount 1 and the given sequence number.
func singleAddBatch(sequence uint64) *tally.Batch {
	adds := []tally.Add{{ID: fmt.Sprint("id", sequence), Tally: "t", Amount: 1}}
	return &tally.Batch{Runs: []tally.Run{{Origin: firstOrigin, First: sequence, Adds: adds}}}
}

// openLog opens a log that isn't corrupt.
func openLog(t *testing.T, dir string) (*Log, tally.SavedState) {
	t.Helper()
	l, saved, err := Open(dir, testOptions(dir))
	require.NoError(t, err)
	t.Cleanup(l.Close)
	return l, saved
}

// writeLog returns the contents of a log with the given number of adds, and its sizes in bytes before the
// first and after each of them.
func writeLog(t *testing.T, adds int) (contents []byte, sizes []int64) {
	t.Helper()
	dir := t.TempDir()
	l, _ := openLog(t, dir)
	sizes = append(sizes, l.Size())
	for n := range adds {
		require.NoError(t, l.Append(singleAddBatch(uint64(n+1))))
		sizes = append(sizes, l.Size())
	}
	contents, err := os.ReadFile(filepath.Join(dir, logFileName))
	require.NoError(t, err)
	return contents, sizes
}

// reopen opens a log with the given contents, without fsync, as nothing has to be durable.
func reopen(t *testing.T, contents []byte) (tally.SavedState, error) {
	t.Helper()
	fsync = func(*os.File) error { return nil }
	defer func() { fsync = (*os.File).Sync }()
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, logFileName), contents, 0o644))
	l, saved, err := Open(dir, testOptions(dir))
	require.NotNil(t, l)
	l.Close()
	return saved, err
}

func TestAppendAndReopen(t *testing.T) {
	contents, _ := writeLog(t, 3)
	saved, err := reopen(t, contents)
	require.NoError(t, err)
	require.Equal(t, int64(3), saved.Set.Total("t"))
	require.Equal(t, []tally.Origin{firstOrigin}, saved.Origins)
	require.True(t, saved.Complete)
}

// TestTornAppendAtEveryByte cuts the last frame at every byte, or fills it with zeros up to there. The
// frames before it must be read, and its sequence numbers must not be reused.
func TestTornAppendAtEveryByte(t *testing.T) {
	contents, sizes := writeLog(t, 3)
	for end := sizes[2]; end < sizes[3]; end++ {
		for _, zeroed := range []bool{false, true} {
			remaining := contents[:end]
			if zeroed {
				remaining = append(append([]byte{}, contents[:sizes[2]]...), make([]byte, end-sizes[2])...)
			}
			saved, err := reopen(t, remaining)
			require.NoError(t, err, "open log torn at byte %d", end)
			require.Equal(t, int64(2), saved.Set.Total("t"))
			require.Equal(t, end > sizes[2], hasNewOrigin(saved))
		}
	}
}

// TestCorruptionBeforeLastFrame flips each bit that was synced before the last write. Open must report
// corruption rather than a torn end, and return an empty log that isn't complete.
func TestCorruptionBeforeLastFrame(t *testing.T) {
	contents, sizes := writeLog(t, 3)
	for at := range sizes[2] {
		for bit := range 8 {
			corrupted := append([]byte{}, contents...)
			corrupted[at] ^= 1 << bit
			saved, err := reopen(t, corrupted)
			var corruption *CorruptionError
			require.ErrorAs(t, err, &corruption, "bit %d of byte %d", bit, at)
			require.Zero(t, saved.Set.Len())
			require.False(t, saved.Complete)
		}
	}
}

// TestCorruptionOfLastFrame flips a bit in each byte of the last frame. This can't be told from a torn end,
// so the frame is truncated, and its sequence numbers must not be reused.
func TestCorruptionOfLastFrame(t *testing.T) {
	contents, sizes := writeLog(t, 3)
	for at := sizes[2]; at < sizes[3]; at++ {
		corrupted := append([]byte{}, contents...)
		corrupted[at] ^= 1
		saved, err := reopen(t, corrupted)
		require.NoError(t, err)
		require.Equal(t, int64(2), saved.Set.Total("t"))
		require.True(t, hasNewOrigin(saved))
	}
}

// TestRecoverAfterFailedSync checks that nothing is appended behind a failed write and that Recover removes
// what that write left.
func TestRecoverAfterFailedSync(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir)
	require.NoError(t, l.Append(singleAddBatch(1)))
	errSync := errors.New("simulated fsync failure")
	fsync = func(*os.File) error { return errSync }
	t.Cleanup(func() { fsync = (*os.File).Sync })
	require.ErrorIs(t, l.Append(singleAddBatch(2)), errSync)
	require.ErrorIs(t, l.Recover(), errSync)
	require.Error(t, l.Append(singleAddBatch(2)))
	fsync = (*os.File).Sync
	require.NoError(t, l.Recover())
	require.NoError(t, l.Append(singleAddBatch(2)))
	_, saved := openLog(t, dir)
	require.Equal(t, int64(2), saved.Set.Total("t"))
	require.False(t, hasNewOrigin(saved))
}

// TestOpenSyncsUnconfirmedTail checks that Open syncs the last frame, which no later frame confirms as
// synced, and errSync if it can't: a killed process may have left it without an fsync.
func TestOpenSyncsUnconfirmedTail(t *testing.T) {
	contents, _ := writeLog(t, 2)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, logFileName), contents, 0o644))
	errSync := errors.New("simulated fsync failure")
	fsync = func(*os.File) error { return errSync }
	t.Cleanup(func() { fsync = (*os.File).Sync })
	_, _, err := Open(dir, testOptions(dir))
	require.ErrorIs(t, err, errSync)
}

// TestCompletePersists checks that an incomplete log stays incomplete over restarts until a batch completes it.
func TestCompletePersists(t *testing.T) {
	dir := t.TempDir()
	missing := testOptions(dir)
	missing.Complete = false
	l, saved, err := Open(dir, missing)
	require.NoError(t, err)
	require.False(t, saved.Complete)
	l.Close()
	l, saved = openLog(t, dir)
	require.False(t, saved.Complete, "complete after a restart: got true, want false")
	require.NoError(t, l.Append(&tally.Batch{Complete: true}))
	_, saved = openLog(t, dir)
	require.True(t, saved.Complete)
}

// TestOpenAfterInterruptedQuarantine opens a directory in which power was lost after a corrupt log was
// renamed and before the new one was created. The new log must not be complete.
func TestOpenAfterInterruptedQuarantine(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, quarantineFileName), []byte("damaged"), 0o644))
	_, saved := openLog(t, dir)
	require.False(t, saved.Complete)
}

// hasNewOrigin reports whether new adds get another origin than the log's first.
func hasNewOrigin(saved tally.SavedState) bool {
	return saved.Origins[len(saved.Origins)-1] != firstOrigin
}

// TestNewOriginAfterTornTailPersists checks that the sequence numbers of a truncated frame aren't reused by
// the second start either, when nothing was written in between.
func TestNewOriginAfterTornTailPersists(t *testing.T) {
	contents, _ := writeLog(t, 3)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, logFileName), contents[:len(contents)-1], 0o644))
	for range 2 {
		l, saved := openLog(t, dir)
		require.True(t, hasNewOrigin(saved))
		l.Close()
	}
}
