package learnt

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"nettlefold/mixer"
)

func TestReadAcceptsOrRejectsWholeFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learnt.json")
	capturedAt, layout := time.Unix(1e9, 5e6), Layout{4, 2, 1, true}
	state := mixer.Snapshot{
		Fleet:   mixer.Pace{Took: 5e8, Calls: 4},
		Process: []mixer.Pace{{Searcher: "s", Started: 7, Took: 1e8, Calls: 2}},
	}
	if err := Write(path, capturedAt, layout, state); err != nil {
		t.Fatal(err)
	}
	gotAt, gotState, err := Read(path, capturedAt.Add(time.Second), layout)
	if err != nil || !gotAt.Equal(capturedAt) || !reflect.DeepEqual(gotState, state) {
		t.Fatalf("Read() = %v, %+v, %v, want %v, %+v, nil", gotAt, gotState, err, capturedAt, state)
	}
	valid, _ := os.ReadFile(path)
	for _, c := range []struct {
		name, wantPrefix string
		raw              []byte
		age              time.Duration
		layout           Layout
	}{
		{"too old", "stale", valid, 61 * time.Second, layout},
		{"from the future", "stale", valid, -time.Second, layout},
		{"sized differs", "foreign", valid, 0, Layout{4, 2, 1, false}},
		{"cells differ", "foreign", valid, 0, Layout{5, 2, 1, true}},
		{"half of the file", "truncated", valid[:len(valid)/2], 0, layout},
		{"empty file", "truncated", nil, 0, layout},
		{"changed record", "spoilt", bytes.Replace(valid, []byte(`"Calls":2`), []byte(`"Calls":3`), 1), 0, layout},
	} {
		if err := os.WriteFile(path, c.raw, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Read(path, capturedAt.Add(c.age), c.layout); err == nil || !strings.HasPrefix(err.Error(), c.wantPrefix) {
			t.Errorf("%s: Read() error = %v, want prefix %q", c.name, err, c.wantPrefix)
		}
	}
	state.Process[0].Calls = -2
	if err := Write(path, capturedAt, layout, state); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Read(path, capturedAt, layout); err == nil || !strings.HasPrefix(err.Error(), "unsound") {
		t.Errorf("negative number of calls: Read() error = %v, want prefix %q", err, "unsound")
	}
	if _, _, err := Read(filepath.Join(t.TempDir(), "none"), capturedAt, layout); err == nil || !strings.HasPrefix(err.Error(), "unreadable") {
		t.Errorf("missing file: Read() error = %v, want prefix %q", err, "unreadable")
	}
}
