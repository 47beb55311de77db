package pairs

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Variant is a trial build: nothing switched off, one mechanism, or one constant multiplied.
type Variant struct {
	Name     string // for tables, the switches too
	Switches string // what the linker sets
}

// Baseline is the build in which nothing is switched off.
var Baseline = Variant{Name: "all"}

const (
	deployFile     = "deploy/system.toml"
	shippedFlags   = "-ldflags=-linkmode=external"
	journalFolder  = "journal"
	digestFile     = "sources.sha256"
	switchVariable = "nettlefold/internal/trial.switches"
)

// trialBuild changes the build line of a deploy file to that of a variant.
func trialBuild(deploy string, v Variant) (string, error) {
	if !strings.Contains(deploy, shippedFlags) {
		return "", errors.New(deployFile + ": no " + shippedFlags)
	}
	flags := `-tags trial -ldflags='-linkmode=external -X ` + switchVariable + `=` + v.Switches + `'`
	return strings.Replace(deploy, shippedFlags, flags, 1), nil
}

// prepare writes the sources into a variant's folder, with its build line, and builds them by the bench.
func (p *Plan) prepare(from *sources, v Variant) error {
	folder := p.folder(v)
	if err := from.write(folder); err != nil {
		return errors.Join(errors.New("step copy of "+v.Name), err)
	}
	path := filepath.Join(folder, deployFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	changed, err := trialBuild(string(text), v)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(changed), 0o644); err != nil {
		return err
	}
	build := exec.Command(p.Bench, "build")
	build.Dir = folder
	if output, err := build.CombinedOutput(); err != nil {
		return errors.Join(errors.New("step build of "+v.Name+": "+string(output)), err)
	}
	return nil
}

// sources are files of the repository, as they were when a trial began: all variants are built from the same.
type sources struct {
	files  []sourceFile
	digest string
}

type sourceFile struct {
	name string
	text []byte
	mode os.FileMode
}

// readSources reads the files that git tracks or would track, but for the journal.
func readSources() (*sources, error) {
	list := exec.Command("git", "ls-files", "-z", "--cached", "--others", "--exclude-standard", "--", ".", ":!"+journalFolder)
	names, err := list.Output()
	if err != nil {
		return nil, err
	}
	s := &sources{}
	digest := sha256.New()
	for _, name := range strings.Split(strings.TrimSuffix(string(names), "\x00"), "\x00") {
		info, err := os.Stat(name)
		if errors.Is(err, os.ErrNotExist) { // tracked, but removed in the working tree
			continue
		}
		if err != nil {
			return nil, err
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		s.files = append(s.files, sourceFile{name, text, info.Mode().Perm()})
		fmt.Fprintf(digest, "%s %d\n%s", name, len(text), text)
	}
	s.digest = hex.EncodeToString(digest.Sum(nil))
	return s, nil
}

// claim notes in a folder of what sources its plays are. A folder of other sources is refused: its plays would be taken for plays of these.
func (s *sources) claim(folder string) error {
	path := filepath.Join(folder, digestFile)
	known, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return os.WriteFile(path, []byte(s.digest), 0o644)
	}
	if err == nil && string(known) != s.digest {
		return errors.New(folder + " has plays of other sources: name another folder")
	}
	return err
}

// write writes the sources into a folder.
func (s *sources) write(folder string) error {
	for _, f := range s.files {
		path := filepath.Join(folder, f.name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(path, f.text, f.mode); err != nil {
			return err
		}
	}
	start := exec.Command("git", "init", "-q", ".")
	start.Dir = folder
	return start.Run()
}
