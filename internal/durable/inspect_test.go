package durable

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInspectReadsWithoutChanging(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	require.NoError(t, s.Write(append([]chainRecord{meta(4)}, entry(1, 30), entry(2, 30))))
	s.Close()
	path := onlyFile(t, dir)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	torn := append(append([]byte(nil), text...), "*3\r\n$3\r\nset"...)
	require.NoError(t, os.WriteFile(path, torn, 0o644))
	report, err := Inspect(dir)
	require.NoError(t, err)
	require.NoError(t, report.Fault())
	require.Equal(t, int64(len(text)), report.Files[0].TornAt)
	require.Equal(t, uint64(4), report.Meta.Promised.Round)
	require.Len(t, report.Entries, 2)
	after, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, torn, after)
}

func TestDamageIsNamedByOffset(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	require.NoError(t, s.Write([]chainRecord{meta(4)}))
	require.NoError(t, s.Mark())
	path := onlyFile(t, dir)
	before, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, s.Write([]chainRecord{entry(1, 200), entry(2, 30)}))
	s.Close()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	text[len(before)+120] ^= 1
	require.NoError(t, os.WriteFile(path, text, 0o644))
	report, err := Inspect(dir)
	require.NoError(t, err)
	var damage *DamageError
	require.ErrorAs(t, report.Fault(), &damage)
	require.Equal(t, int64(len(before)), damage.Offset)
	require.Contains(t, damage.Error(), "checksum")
}
