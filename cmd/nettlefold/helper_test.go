package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"nettlefold/example/toy"
)

// binary is the program as the platform builds it.
const binary = "../../bin/nettlefold"

// object is a JSON object of a configuration.
type object map[string]any

// world is the program with the searchers and the list that it speaks to.
type world struct {
	t         *testing.T
	searchers []*toy.Searcher // two for each of two cells
	list      *toy.List
	listAt    *httptest.Server
	settings  object
	limits    object
	addr      string
	path      string                     // of the configuration
	files     int                        // descriptors that the process may have, as the system counts; 0: as many as there are
	known     func(i int, m *toy.Member) // what the configuration's list has otherwise
	empty     bool                       // it has none
	left      string                     // of a lookup's time when it is asked, in ms; "": 2000
	cmd       *exec.Cmd
	log       logFile
	ended     chan error
	client    *http.Client
}

// logFile is a log that may be read while it is written.
type logFile struct{ *os.File }

func newLog(t *testing.T) logFile {
	f, err := os.CreateTemp(t.TempDir(), "log")
	if err != nil {
		t.Fatal(err)
	}
	return logFile{f}
}

func (l logFile) String() string {
	raw, _ := os.ReadFile(l.Name())
	return string(raw)
}

// prepare makes searchers, which may be changed until the program is started, and the list.
func prepare(t *testing.T) *world {
	w := &world{t: t, log: newLog(t), list: &toy.List{Beat: 100 * time.Millisecond}, client: &http.Client{Transport: &http.Transport{}}}
	w.listAt = w.serveList(w.list)
	for i := range 4 {
		s := &toy.Searcher{Name: fmt.Sprintf("s%d", i), Zone: "z", Cell: i / 2, Took: 5 * time.Millisecond}
		w.searchers = append(w.searchers, s)
	}
	w.limits = object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
	w.settings = object{
		"Locality": "z", "NInstances": 1, "MembershipMode": "pushed",
		"FamilyInfo": object{"Sets": 2, "Width": 1, "Slabs": 8, "PerCall": 4, "CompleteFrom": []float64{1, 0.5},
			"LeastShare": []float64{1, 0.5}, "ClassPartial": []float64{0, 0}, "FetchParts": []int{0, 0}},
		"PolicyLimits": object{"MaxAttempts": 3, "MayDuplicate": true, "Cancel": true, "RetryAfter": true,
			"MaxRetryAfterMs": 500.0, "MaxOpen": 100, "MaxStreams": 100, "ConnectTimeoutMs": 250.0, "KeepaliveMs": 30000.0},
		"Guarantees": object{"ColdFrom": 0.2, "ColdMs": 1000.0, "FallMultiple": 2.0, "FallMs": 1000.0},
		"Profiles": []object{
			{"Name": "all", "AimMs": 1000.0, "DeadlineMs": 2000.0, "Effect": "retryable"},
			{"Name": "half", "AimMs": 1000.0, "DeadlineMs": 2000.0, "Effect": "retryable"}},
	}
	return w
}

// unhurried is a world whose searchers take so long, and whose clients have so much time that none is turned away for it, also
// where the machine has a searcher answer late: one is turned away when a part is likely to take a third of what is left.
func unhurried(t *testing.T, took time.Duration) *world {
	w := prepare(t)
	for _, s := range w.searchers {
		s.Took = took
	}
	all := w.settings["Profiles"].([]object)[0]
	all["AimMs"], all["DeadlineMs"] = 10000.0, 10000.0
	w.left = "10000"
	return w
}

func (w *world) of(path string) object { return w.settings[path].(object) }

// whole gives the list as it stands, with what has changed.
func (w *world) whole(index int64, change func(i int, m *toy.Member)) toy.Message {
	m := toy.Message{Index: index, Snapshot: true}
	for i, s := range w.searchers {
		e := s.Entry("SERVING")
		if change != nil {
			change(i, &e)
		}
		m.Endpoints = append(m.Endpoints, e)
	}
	return m
}

// changed gives a change of one searcher.
func changed(index int64, m toy.Member) toy.Message {
	return toy.Message{Index: index, Endpoints: []toy.Member{m}}
}

// play starts the searchers.
func (w *world) play() {
	w.t.Helper()
	for _, s := range w.searchers {
		if err := s.Start(); err != nil {
			w.t.Fatal(err)
		}
		w.t.Cleanup(s.Stop)
	}
}

// conns counts the connections that searchers have open.
func (w *world) conns() (n int) {
	for _, s := range w.searchers {
		n += s.Conns()
	}
	return n
}

// configure starts the searchers and writes the program's configuration, to a file whose path it gives.
func (w *world) configure() string {
	w.t.Helper()
	w.play()
	w.list.Say(w.whole(1, nil)) // as known from the start
	n := launched.Add(1)        // an address of its own on the loopback, which no other test can take meanwhile
	w.addr = loopback(int(n/250), int(1+n%250), 18080)
	w.path = filepath.Join(w.t.TempDir(), "config.json")
	w.write(w.listAt)
	return w.path
}

// write writes the program's configuration, with discovery at a server.
func (w *world) write(discovery *httptest.Server) {
	w.t.Helper()
	known := w.whole(1, w.known)
	if w.empty {
		known.Endpoints = []toy.Member{}
	}
	raw, err := json.Marshal(object{
		"name": "n0", "listen": w.addr, "discovery": discovery.Listener.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits": w.limits, "known": known, "settings": w.settings})
	if err != nil {
		w.t.Fatal(err)
	}
	if err := os.WriteFile(w.path, raw, 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// serveList serves another list until the test ends.
func (w *world) serveList(h http.Handler) *httptest.Server {
	at := httptest.NewServer(h)
	w.t.Cleanup(at.Close)
	w.t.Cleanup(at.CloseClientConnections)
	return at
}

// launch starts the searchers, and the program without waiting for it.
func (w *world) launch() {
	w.t.Helper()
	w.configure()
	w.execute()
	w.t.Cleanup(func() {
		w.cmd.Process.Kill()
		if w.t.Failed() {
			w.t.Log("the program's log:\n" + w.log.String())
		}
	})
}

// execute starts the program on the configuration as it is written.
func (w *world) execute() {
	w.t.Helper()
	cmd, ended := exec.Command(binary), make(chan error, 1)
	if w.files > 0 {
		cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", w.files, binary))
	}
	cmd.Env, cmd.Stderr = append(os.Environ(), "LB_CONFIG="+w.path), w.log.File // the file itself: a pipe would lag behind what it does
	if err := cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.cmd, w.ended = cmd, ended
	go func() { ended <- cmd.Wait() }()
}

// start starts the program and waits until it is healthy.
func (w *world) start() *world {
	w.t.Helper()
	w.launch()
	w.healthy()
	return w
}

func (w *world) healthy() {
	w.t.Helper()
	w.until("health", func() bool { return w.health() == http.StatusOK })
}

func (w *world) health() int {
	resp, err := w.client.Get("http://" + w.addr + "/_health")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// until waits for something to become true.
func (w *world) until(what string, is func() bool) {
	w.t.Helper()
	for end := time.Now().Add(5 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("never: %s", what)
		}
	}
}

// asking is until, with a lookup of every part before each look.
func (w *world) asking(what string, is func() bool) {
	w.t.Helper()
	w.until(what, func() bool {
		w.satisfied(fmt.Sprint("u", time.Now().UnixNano()), 1)
		return is()
	})
}

// unused waits until lookups go on without the searcher.
func (w *world) unused(what string, s *toy.Searcher) {
	w.t.Helper()
	w.until(what, func() bool {
		before := calls(s)
		w.satisfied(fmt.Sprint("n", time.Now().UnixNano()), 6)
		return calls(s) == before
	})
}

// dial connects to the program until the test ends.
func (w *world) dial() net.Conn {
	w.t.Helper()
	nc, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { nc.Close() })
	return nc
}

// reply is what came back for a lookup.
type reply struct {
	status   int
	head     http.Header
	Complete bool
	Hits     []struct {
		Shard int
		Doc   string
	}
	text    string
	closing bool // the connection ends with it
	at      time.Time
}

// request makes a lookup's request.
func (w *world) request(id, lane, remaining string, body string) *http.Request {
	req, err := http.NewRequest("POST", "http://"+w.addr+"/api", strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	for name, v := range map[string]string{"X-Txn": id, "X-Lane": lane, "X-Remaining-Ms": remaining} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	return req
}

// do sends a request.
func (w *world) do(req *http.Request) (r reply, err error) {
	resp, err := w.client.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return r, err
	}
	r.status, r.head, r.text, r.closing = resp.StatusCode, resp.Header, b.String(), resp.Close
	if r.status == http.StatusOK {
		err = json.Unmarshal(b.Bytes(), &r)
	}
	return r, err
}

// shards makes a lookup's body with parts of equal weight.
func shards(text string, slices ...int) string {
	parts := make([]string, len(slices))
	for i, s := range slices {
		parts[i] = fmt.Sprintf(`{"shard":%d,"weight":%v}`, s, 1/float64(len(slices)))
	}
	return fmt.Sprintf(`{"shards":[%s],"q":%q}`, strings.Join(parts, ","), text)
}

// ask sends a lookup, and checks that each hit is what a searcher found, and each part there once.
func (w *world) ask(id, lane string, slices ...int) reply {
	w.t.Helper()
	text := "text of " + id
	r, err := w.do(w.request(id, lane, cmp.Or(w.left, "2000"), shards(text, slices...)))
	if err != nil {
		w.t.Errorf("lookup %s: %v", id, err)
	}
	seen := map[int]bool{}
	for _, h := range r.Hits {
		if want := (toy.Part{Text: text, Slice: h.Shard}).Value(); h.Doc != want || seen[h.Shard] {
			w.t.Errorf("lookup %s: part %d has value %q, once before %v, want %q", id, h.Shard, h.Doc, seen[h.Shard], want)
		}
		seen[h.Shard] = true
	}
	return r
}

// satisfied asks so many lookups of every part and tells how many were answered whole.
func (w *world) satisfied(name string, n int) (whole int) {
	w.t.Helper()
	for i := range n {
		if r := w.ask(fmt.Sprintf("%s%d", name, i), "all", 0, 1, 2, 3); r.status == http.StatusOK && r.Complete {
			whole++
		}
	}
	return whole
}

// exit waits for the program to end and gives its exit code.
func (w *world) exit(within time.Duration) int {
	w.t.Helper()
	select {
	case err := <-w.ended:
		var code *exec.ExitError
		if errors.As(err, &code) {
			return code.ExitCode()
		}
		return 0
	case <-time.After(within):
		w.t.Fatalf("still running after %v", within)
		return -1
	}
}

func (w *world) signal(sig os.Signal) {
	if err := w.cmd.Process.Signal(sig); err != nil {
		w.t.Fatal(err)
	}
}

// files counts a process' descriptors.
func files(pid int) int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(all)
}

// calls counts the calls that a searcher has got.
func calls(s *toy.Searcher) (n int) {
	for _, f := range s.Frames() {
		if f[0] == 'Q' {
			n++
		}
	}
	return n
}
