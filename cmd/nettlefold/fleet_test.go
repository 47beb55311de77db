package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"nettlefold/internal/fleet/roster"
	"nettlefold/internal/protocol"
	"nettlefold/internal/settings"
	"nettlefold/mixer"
)

// owned gives the program's directory in /proc, and the sockets that it has open, by the system's numbers.
func (w *world) owned() (proc string, mine map[string]bool) {
	w.t.Helper()
	proc, mine = fmt.Sprintf("/proc/%d", w.cmd.Process.Pid), map[string]bool{}
	all, err := os.ReadDir(proc + "/fd")
	if err != nil {
		w.t.Fatal(err)
	}
	for _, f := range all {
		if to, err := os.Readlink(proc + "/fd/" + f.Name()); err == nil && strings.HasPrefix(to, "socket:[") {
			mine[strings.Trim(to[len("socket:"):], "[]")] = true
		}
	}
	return proc, mine
}

// packets counts the UDP sockets that the program has open.
func (w *world) packets() (n int) {
	w.t.Helper()
	w.eachSocket("udp", func([]string) { n++ })
	return n
}

// eachSocket gives the system's line on each socket that the program has open of a kind, in fields.
func (w *world) eachSocket(kind string, do func(fields []string)) {
	w.t.Helper()
	proc, mine := w.owned()
	for _, file := range []string{"/net/" + kind, "/net/" + kind + "6"} {
		f, err := os.Open(proc + file)
		if err != nil {
			continue // no IPv6 there
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			if fields := strings.Fields(lines.Text()); len(fields) > 9 && mine[fields[9]] {
				do(fields)
			}
		}
		f.Close()
	}
}

const threeSites = `<site name="x"/><site name="y"/><site name="z"/>`

// TestTakesPartInTheFleet plays the program beside a roster of the test's own: they find each other under keys half
// changed, the admin listener says so, the program's end is a goodbye. Without a fleet the program has no socket for one.
func TestTakesPartInTheFleet(t *testing.T) {
	dir := t.TempDir()
	own, key := filepath.Join(dir, "own.xml"), filepath.Join(dir, "key")
	t.Setenv("NETTLEFOLD_SETTINGS", own)
	admin, listen := loopback(203, 1, 19090), loopback(203, 1, 17946)
	settle := func(fleet string) {
		doc := `<nettlefold xmlns="urn:nettlefold:settings:1"><listeners><admin address="` + admin +
			`"/></listeners>` +
			fleet + `</nettlefold>`
		if err := os.WriteFile(own, []byte(doc), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	settle("")
	w := prepare(t).start()
	if n, got := w.packets(), fetch("http://"+admin+"/fleet"); n != 0 || !strings.Contains(got, "no fleet is set") {
		t.Errorf("without a fleet: %d UDP sockets, %s", n, got)
	}
	w.signal(syscall.SIGTERM)
	w.exit(5 * time.Second)

	if err := os.WriteFile(key, []byte(strings.Repeat("5b", 16)+"\n"+strings.Repeat("5a", 32)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	settle(`<fleet listen="` + listen + `" key-file="` + key + `">` + threeSites + `</fleet>`)
	w = prepare(t).start()
	if n := w.packets(); n != 1 {
		t.Errorf("%d UDP sockets, want one", n)
	}
	peer, err := roster.Start(roster.Options{Self: roster.Life{Name: "peer", Site: "x"}, Listen: loopback(203, 2, 17946),
		Join: []string{listen}, Group: "nettlefold",
		Key: bytes.Repeat([]byte{0x5a}, 32), Others: [][]byte{bytes.Repeat([]byte{0x5b}, 16)}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { peer.Run(ctx); close(done) }()
	defer func() { stop(); <-done }()
	var told struct {
		Self    struct{ Name, Life, Site string }
		Members []struct{ Name, State, Site string }
		Tables  []struct {
			Name  string
			State any
		}
	}
	w.until("the program tells of both", func() bool {
		err := json.Unmarshal([]byte(fetch("http://"+admin+"/fleet")), &told)
		return err == nil && len(told.Members) == 2 && told.Members[1].Name == "peer" && told.Members[1].State == "here" &&
			len(told.Tables) == 1 && len(fmt.Sprint(told.Tables[0].State)) > 100 // its first round is over
	})
	if rows, ok := told.Tables[0].State.([]any); told.Tables[0].Name != "sites" || !ok || len(rows) != 3 {
		t.Errorf("%+v", told.Tables)
	}
	if s := told.Self; s.Name != "n0" || s.Site != "z" || len(s.Life) != 16 || told.Members[1].Site != "x" {
		t.Errorf("%+v", told)
	}
	if r := w.ask("beside", "all", 0, 1, 2, 3); r.status != http.StatusOK || !r.Complete {
		t.Errorf("%d %s", r.status, r.text)
	}
	w.signal(syscall.SIGTERM)
	w.until("its goodbye", func() bool {
		m := peer.Members()
		return len(m) == 2 && m[0].State == roster.Gone && m[0].Why == roster.Goodbye
	})
	if code := w.exit(5 * time.Second); code != 0 {
		t.Errorf("exit %d", code)
	}
}

func TestBadFleetEndsTheStart(t *testing.T) {
	dir := t.TempDir()
	short, open := filepath.Join(dir, "short"), filepath.Join(dir, "open")
	if err := os.WriteFile(short, []byte(strings.Repeat("a", 30)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(open, []byte(strings.Repeat("a", 32)), 0o644); err != nil {
		t.Fatal(err)
	}
	c := protocol.Config{Name: "n0", Mixer: mixer.Config{Zone: "z"}}
	before := runtime.NumGoroutine()
	if r, err := gather(c, nil, nil, slog.Default()); r != nil || err != nil || runtime.NumGoroutine() != before {
		t.Errorf("without a fleet: %v, %v, %d goroutines, were %d", r, err, runtime.NumGoroutine(), before)
	}
	none, err := newSites(c, nil, slog.Default())
	two, err2 := newSites(c, &settings.Fleet{Sites: []string{"z", "y"}, Alone: true}, slog.Default())
	if none != nil || two != nil || err != nil || err2 != nil || none.exchange() != nil || none.alive() != nil ||
		runtime.NumGoroutine() != before {
		t.Errorf("sites are judged without a fleet, or without a majority: %v %v %v %v", none, two, err, err2)
	}
	var many []string
	for i := range 65 {
		many = append(many, fmt.Sprint("z", i))
	}
	c.Mixer.Tariffs = []mixer.Tariff{{Expected: 1}}
	c.Limits.HeartbeatInterval = 1
	_, err = newSites(c, &settings.Fleet{Sites: many, Site: "z1"}, slog.Default())
	if err == nil || !strings.Contains(err.Error(), "fleet: sites: 65, 1 to 64 can be") {
		t.Errorf("too many sites: %v", err)
	}
	for want, change := range map[string]func(*settings.Fleet){
		`fleet: site: "z" is none of the sites ["a" "b"]`:              func(f *settings.Fleet) { f.Sites = []string{"a", "b"} },
		`fleet: key-file: ` + short + `: key 1: 15 bytes, want 16, 24`: func(f *settings.Fleet) { f.KeyFile = short },
		`fleet: key-file: ` + open + `: mode`:                          func(f *settings.Fleet) { f.KeyFile = open },
		`fleet: listen: "192.0.2.1:7946": `:                            func(f *settings.Fleet) { f.Listen = "192.0.2.1:7946" },
		`fleet: advertise: ":7946": `:                                  func(f *settings.Fleet) { f.Advertise = ":7946" },
	} {
		f := &settings.Fleet{Listen: loopback(203, 3, 17946), Sites: []string{"x", "y", "z"}}
		change(f)
		r, err := gather(c, f, nil, slog.New(slog.DiscardHandler))
		if r != nil {
			r.Close()
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}
