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

func TestRecordIsTakenWholeOrRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learnt.json")
	at, shape := time.Unix(1e9, 5e6), Layout{4, 2, 1, true}
	kept := mixer.Snapshot{Fleet: mixer.Pace{Took: 5e8, Calls: 4}, Process: []mixer.Pace{{Searcher: "s", Started: 7, Took: 1e8, Calls: 2}}}
	if err := Write(path, at, shape, kept); err != nil {
		t.Fatal(err)
	}
	got, k, err := Read(path, at.Add(time.Second), shape)
	if err != nil || !got.Equal(at) || !reflect.DeepEqual(k, kept) {
		t.Fatalf("%v, %+v, %v", got, k, err)
	}
	sound, _ := os.ReadFile(path)
	for _, c := range []struct {
		name, reason string
		raw          []byte
		later        time.Duration
		shape        Layout
	}{
		{"old", "stale", sound, 61 * time.Second, shape},
		{"of a time to come", "stale", sound, -time.Second, shape},
		{"of other sizes", "foreign", sound, 0, Layout{4, 2, 1, false}},
		{"of another layout", "foreign", sound, 0, Layout{5, 2, 1, true}},
		{"cut", "truncated", sound[:len(sound)/2], 0, shape},
		{"empty", "truncated", nil, 0, shape},
		{"changed", "spoilt", bytes.Replace(sound, []byte(`"Calls":2`), []byte(`"Calls":3`), 1), 0, shape},
	} {
		if err := os.WriteFile(path, c.raw, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Read(path, at.Add(c.later), c.shape); err == nil || !strings.HasPrefix(err.Error(), c.reason) {
			t.Errorf("a record %s gives %v, want it %s", c.name, err, c.reason)
		}
	}
	kept.Process[0].Calls = -2
	if err := Write(path, at, shape, kept); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Read(path, at, shape); err == nil || !strings.HasPrefix(err.Error(), "unsound") {
		t.Errorf("negative calls give %v", err)
	}
	if _, _, err := Read(filepath.Join(t.TempDir(), "none"), at, shape); err == nil || !strings.HasPrefix(err.Error(), "unreadable") {
		t.Errorf("no file gives %v", err)
	}
}
