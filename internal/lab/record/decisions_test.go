package record_test

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"

	"nettlefold/internal/lab/fleet"
	"nettlefold/internal/lab/record"
)

var (
	write   = flag.Bool("write", false, "write testdata/decisions.txt anew, by what this build decides")
	dump    = flag.String("dump", "", "write the transcripts into this folder, one file a world, to compare two builds by cmp or diff")
	against = flag.String("against", "", "replay the transcripts that -dump of another build wrote into this folder")
)

const (
	stored = "testdata/decisions.txt"
	hard   = 56 // worlds
)

// worlds are all that are played, by name.
func worlds() (names []string, play map[string]func(*record.Transcript)) {
	play = map[string]func(*record.Transcript){}
	add := func(name string, do func(*record.Transcript)) {
		names, play[name] = append(names, name), do
	}
	for seed := range int64(hard) {
		add(fmt.Sprintf("hard-%d", seed+1), func(t *record.Transcript) { record.Hard(seed+1, t) })
	}
	for _, shared := range []bool{false, true} {
		for _, mixer := range []int{0, 1} {
			add(fmt.Sprintf("fleet-%d-shared-%v", mixer, shared), func(t *record.Transcript) { ofFleet(mixer, shared, t) })
		}
	}
	return names, play
}

// ofFleet plays a fleet of which two searchers start anew and one falls silent, and records one of its mixers.
func ofFleet(mixer int, shared bool, t *record.Transcript) {
	s := fleet.Usual(1, 8, 0.6, 0.9, shared)
	s.Record = func(i int, life uint64) *record.Transcript {
		if i != mixer || life > 1 {
			return nil
		}
		return t
	}
	w, second := fleet.New(s), int64(1e9)
	w.After(3*second, func() { w.Restart(w.Searchers[2], second/2); w.Restart(w.Searchers[12], second/2) })
	w.After(4*second, func() { w.Searchers[7].Silent = true })
	w.Run(w.Now + 10*second)
}

const header = `# What the module decides, as a digest of its transcript on each of these worlds: name, lines, SHA-256.
# A change that is to keep every decision leaves this file as it is. One that changes a decision has the file written anew,
#     go test ./internal/lab/record -run TestDecisions -write
# and its commit names that, which worlds changed and why. Where a digest differs and none should, dump the transcripts of
# both builds and compare them, or replay one build's by the other:
#     go test ./internal/lab/record -run TestDecisions/worlds/hard-7$ -dump DIR   (a folder that is there, by its whole path)
#     go test ./internal/lab/record -run TestDecisions/worlds/hard-7$ -against DIR
# The digests hold on amd64 as CI builds for it (GOAMD64=v1); elsewhere the compiler may round products and sums at once.
`

// Every decision is as it was when testdata/decisions.txt was written: calls, actions, their order and their times.
func TestDecisions(t *testing.T) {
	if runtime.GOARCH != "amd64" && !*write && *dump == "" && *against == "" {
		t.Skip("the digests are of amd64")
	}
	names, play := worlds()
	want := read(t)
	lines, all := make([]string, len(names)), &tally{seen: map[string]int{}}
	t.Run("worlds", func(t *testing.T) {
		for i, name := range names {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				got := playOne(t, name, play[name], all.writer())
				if lines[i] = got; !*write && *against == "" && want[name] != got {
					t.Errorf("%s decides otherwise than stored:\n  now    %s\n  stored %s\nthe head of %s says how to find the first line that differs",
						name, got, want[name], stored)
				}
			})
		}
	})
	if *write {
		if slices.Contains(lines, "") || t.Failed() {
			t.Fatal("not all worlds were played: nothing is written")
		}
		if err := os.WriteFile(stored, []byte(header+strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	} else if len(want) != len(names) {
		t.Errorf("%d worlds are stored, there are %d", len(want), len(names))
	}
	if *against == "" && !slices.Contains(lines, "") {
		all.check(t)
	}
}

// playOne plays a world and gives its line of the file.
func playOne(t *testing.T, name string, play func(*record.Transcript), counted io.Writer) string {
	if *against != "" {
		f, err := os.Open(filepath.Join(*against, name))
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		same, err := record.Replay(f)
		var d *record.Difference
		if errors.As(err, &d) {
			t.Fatalf("%s: %d lines are the same, then %v", name, same, d)
		} else if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		t.Logf("%s: %d lines are the same", name, same)
		return name
	}
	tr := record.NewTranscript(counted)
	if *dump != "" {
		f, err := os.Create(filepath.Join(*dump, name))
		if err != nil {
			t.Fatal(err)
		}
		b := bufio.NewWriter(f)
		defer func() {
			if err := errors.Join(tr.Err(), b.Flush(), f.Close()); err != nil {
				t.Error(err)
			}
		}()
		tr = record.NewTranscript(io.MultiWriter(counted, b))
	}
	play(tr)
	return fmt.Sprintf("%s %d %s", name, tr.Lines(), tr.Digest())
}

// read gives the stored lines by the names of their worlds.
func read(t *testing.T) map[string]string {
	raw, err := os.ReadFile(stored)
	if err != nil && !*write {
		t.Fatal(err)
	}
	all := map[string]string{}
	for line := range strings.Lines(string(raw)) {
		if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
			all[strings.Fields(line)[0]] = line
		}
	}
	return all
}
