package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"nettlefold/internal/protocol"
)

// sockets counts the TCP sockets that the program listens at, and its connections to a port.
func (w *world) sockets(port int) (listeners, to int) {
	w.t.Helper()
	w.eachSocket("tcp", func(fields []string) {
		if fields[3] == "0A" {
			listeners++
		} else if strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", port)) {
			to++
		}
	})
	return listeners, to
}

// relayProcess is one relay of the program's own.
type relayProcess struct {
	t     *testing.T
	admin string
	cmd   *exec.Cmd
	log   logFile
}

func startRelay(t *testing.T, settings, name, admin string) *relayProcess {
	t.Helper()
	r := &relayProcess{t: t, admin: admin, log: newLog(t)}
	r.cmd = exec.Command(binary, "relay", "--name", name, "--admin", admin, "--settings", settings)
	r.cmd.Stderr = r.log.File
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if r.cmd.ProcessState == nil {
			r.cmd.Process.Kill()
			r.cmd.Wait()
		}
		if t.Failed() {
			t.Log(name + ":\n" + r.log.String())
		}
	})
	return r
}

// leave ends the relay, which has to exit with 0.
func (r *relayProcess) leave() {
	r.t.Helper()
	r.cmd.Process.Signal(syscall.SIGTERM)
	if err := r.cmd.Wait(); err != nil {
		r.t.Errorf("the relay's end: %v", err)
	}
}

func give(dir, doc string, args ...string) (string, error) {
	path := filepath.Join(dir, "version.json")
	if err := os.WriteFile(path, []byte(doc), 0o600); err != nil {
		return "", err
	}
	out, err := exec.Command(binary, append([]string{"give", path}, args...)...).CombinedOutput()
	return string(out), err
}

// TestFollowsTheControlTier plays the program beside three relays: a version is in force in flight, one with a fault is rejected
// with element and value, without relays the mixer goes on. Without <control> it has no socket for it and is as before.
func TestFollowsTheControlTier(t *testing.T) {
	dir := t.TempDir()
	own := filepath.Join(dir, "own.xml")
	t.Setenv("NETTLEFOLD_SETTINGS", own)
	const port = 17101
	admin := loopback(204, 1, 19090)
	settle := func(control string) {
		doc := `<nettlefold xmlns="urn:nettlefold:settings:1"><listeners><admin address="` + admin + `"/></listeners>` +
			control + `</nettlefold>`
		if err := os.WriteFile(own, []byte(doc), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	settle("")
	w := prepare(t).start()
	if got := fetch("http://" + admin + "/control"); !strings.Contains(got, "no control is set") {
		t.Error(got)
	}
	if listeners, to := w.sockets(port); listeners != 2 || to != 0 {
		t.Errorf("without relays: %d listeners, %d connections", listeners, to)
	}
	w.signal(syscall.SIGTERM)
	w.exit(5 * time.Second)

	tier := `<control region="east" window="1s">`
	for i := range 3 {
		tier += fmt.Sprintf(`<relay name="r-%d" region="east" address="%s"/>`, i+1, loopback(204, i+2, port))
	}
	settle(tier + `</control>`)
	var relays []*relayProcess
	for i := range 3 {
		relays = append(relays, startRelay(t, own, fmt.Sprint("r-", i+1), loopback(204, i+2, 19090)))
	}
	w = prepare(t).start()
	var told struct {
		InForce *struct{ Epoch, Number uint64 } `json:"in_force"`
		Relay   string
		Heard   int64 `json:"heard_ms"`

		Rejected *struct {
			Number         uint64
			Element, Value string
		}
	}
	state := func() bool {
		told.InForce, told.Rejected = nil, nil
		return json.Unmarshal([]byte(fetch("http://"+admin+"/control")), &told) == nil
	}
	w.within(time.Minute, "it follows a relay", func() bool { return state() && told.Relay != "" })
	if listeners, to := w.sockets(port); listeners != 2 || to < 1 || to > 2 {
		t.Errorf("with relays: %d listeners, %d connections", listeners, to)
	}
	w.within(time.Minute, "a version is taken", func() bool {
		out, err := give(dir, `{"Profiles":{"0":{"AimMs":700}}}`, "--relay", relays[0].admin)
		return err == nil && strings.Contains(out, `"number":1`)
	})
	w.within(time.Minute, "it is in force", func() bool { return state() && told.InForce != nil && told.InForce.Number == 1 })
	if out, err := give(dir, `{"Profiles":{"0":{"DeadlineMs":9e6}}}`, "--relay", relays[1].admin, "--after", "1.0"); err == nil ||
		!strings.Contains(out, "409") {
		t.Errorf("after another version: %v %s", err, out)
	}
	if out, err := give(dir, `{"Profiles":{"0":{"DeadlineMs":9e6}}}`, "--relay", relays[1].admin, "--after", "1.1"); err != nil {
		t.Errorf("%v %s", err, out)
	}
	w.within(time.Minute, "the longer deadline is rejected", func() bool {
		return state() && told.Rejected != nil && told.Rejected.Number == 2 && told.InForce.Number == 1
	})
	if r := told.Rejected; r.Element != "Profiles.0.DeadlineMs" || r.Value != "9e6" {
		t.Errorf("%+v", r)
	}
	w.within(time.Minute, "relays tell why", func() bool {
		return strings.Contains(fetch("http://"+relays[2].admin+"/control/status"), `"element":"Profiles.0.DeadlineMs","value":"9e6"`)
	})
	for _, r := range relays {
		r.leave()
	}
	w.within(time.Minute, "it is alone", func() bool { return state() && told.Relay == "" && told.Heard > 100 })
	if told.InForce == nil || told.InForce.Number != 1 {
		t.Errorf("alone: %+v", told)
	}
	if r := w.ask("alone", "all", 0, 1, 2, 3); r.status != http.StatusOK || !r.Complete {
		t.Errorf("%d %s", r.status, r.text)
	}
	w.signal(syscall.SIGTERM)
	if code := w.exit(5 * time.Second); code != 0 {
		t.Errorf("exit %d", code)
	}
	for _, line := range []string{"control: follows", "control: a version is in force", "control: a version is rejected", "control: alone"} {
		if !strings.Contains(w.log.String(), line) {
			t.Errorf("the log does not say %q", line)
		}
	}
}

// within is until with more time, for what other processes have a part in.
func (w *world) within(most time.Duration, what string, is func() bool) {
	w.t.Helper()
	for end := time.Now().Add(most); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("never: %s", what)
		}
	}
}

func TestNoControlNothingRuns(t *testing.T) {
	before := runtime.NumGoroutine()
	if c := controlled(protocol.Config{Name: "n0"}, nil, nil, slog.Default()); c != nil || runtime.NumGoroutine() != before {
		t.Errorf("%v, %d goroutines, were %d", c, runtime.NumGoroutine(), before)
	}
}

func TestRelayAndGiveTellWhatIsWrong(t *testing.T) {
	none := filepath.Join(t.TempDir(), "own.xml")
	if err := os.WriteFile(none, []byte(`<nettlefold xmlns="urn:nettlefold:settings:1"/>`), 0o600); err != nil {
		t.Fatal(err)
	}
	for want, args := range map[string][]string{
		"control: missing": {"relay", "--name", "r-1", "--settings", none},
		`control: relay: name: "r-8" is none of the relays`: {"relay", "--name", "r-8", "--settings", "../../deploy/control.xml"},
		"no such file": {"give", filepath.Join(t.TempDir(), "none"), "--relay", "127.0.0.1:1"},
		"refused":      {"give", none, "--relay", "127.0.0.1:1"},
	} {
		cmd := exec.Command(binary, args...)
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), want) {
			t.Errorf("%q: %v, %s, want %s", args, err, out, want)
		}
	}
}
