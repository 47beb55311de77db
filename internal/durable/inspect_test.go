package durable

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestInspectLeavesStoreUnchanged: Inspect reports a torn write and does not change the file.
func TestInspectLeavesStoreUnchanged(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	require.NoError(t, s.Write(append([]chainRecord{metaRecord(4)}, entryRecord(1, 30), entryRecord(2, 30))))
	s.Close()
	path := singleFile(t, dir)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	torn := append(append([]byte(nil), text...), "*3\r\n$3\r\nset"...)
	require.NoError(t, os.WriteFile(path, torn, 0o644))
	report, err := Inspect(dir)
	require.NoError(t, err)
	require.NoError(t, report.Verify())
	require.Equal(t, int64(len(text)), report.Files[0].TornAt)
	require.Equal(t, uint64(4), report.Meta.Promised.Round)
	require.Len(t, report.Entries, 2)
	after, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, torn, after)
}

// TestDamageOffset: the damage of a record is reported with the offset of that record.
func TestDamageOffset(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	require.NoError(t, s.Write([]chainRecord{metaRecord(4)}))
	require.NoError(t, s.MarkSynced())
	path := singleFile(t, dir)
	before, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, s.Write([]chainRecord{entryRecord(1, 200), entryRecord(2, 30)}))
	s.Close()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	text[len(before)+120] ^= 1
	require.NoError(t, os.WriteFile(path, text, 0o644))
	report, err := Inspect(dir)
	require.NoError(t, err)
	var damage *DamageError
	require.ErrorAs(t, report.Verify(), &damage)
	require.Equal(t, int64(len(before)), damage.Offset)
	require.Contains(t, damage.Error(), "checksum")
}
