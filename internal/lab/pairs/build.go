package pairs

import (
	"bytes"
	"errors"
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

// prepare copies the sources of the repository into a folder, with the variant's build line, and builds it by the bench.
func (p *Plan) prepare(v Variant) error {
	folder := p.folder(v)
	if err := copySources(folder); err != nil {
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

// copySources copies the files that git tracks or would track, but for the journal.
func copySources(folder string) error {
	list := exec.Command("git", "ls-files", "-z", "--cached", "--others", "--exclude-standard", "--", ".", ":!"+journalFolder)
	names, err := list.Output()
	if err != nil {
		return err
	}
	for _, name := range strings.Split(strings.TrimSuffix(string(names), "\x00"), "\x00") {
		if err := copyFile(name, filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	start := exec.Command("git", "init", "-q", ".")
	start.Dir = folder
	return start.Run()
}

// copyFile copies a file with its mode; one that is unchanged is left, so that builds need not begin anew.
func copyFile(from, to string) error {
	info, err := os.Stat(from)
	if errors.Is(err, os.ErrNotExist) { // tracked, but removed in the working tree
		return nil
	}
	if err != nil {
		return err
	}
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	if old, err := os.ReadFile(to); err == nil && bytes.Equal(old, text) {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return err
	}
	return os.WriteFile(to, text, info.Mode().Perm())
}
