// Package demo shows nettlefold at work on the loopback: a toy world, two mixers that share by a stand-in store, some
// lookups, and how the mixers stand after them.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"nettlefold/example/toy"
	"nettlefold/internal/lab/standin"
)

// free gives an address of the loopback that nobody listens at.
func free() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// settings are those of example/config.json, for as many mixers as there are.
const settings = `{"Locality":"here","NInstances":2,"MembershipMode":"pushed",
"FamilyInfo":{"Sets":2,"Width":1,"Slabs":8,"PerCall":4,"CompleteFrom":[1.0,0.5],"LeastShare":[1.0,0.5],"ClassPartial":[0.0,0.0],"FetchParts":[0,0]},
"PolicyLimits":{"MaxAttempts":3,"MayDuplicate":true,"Cancel":true,"RetryAfter":true,"MaxRetryAfterMs":500.0,"MaxOpen":200,"MaxStreams":100,"ConnectTimeoutMs":250.0,"KeepaliveMs":30000.0},
"Guarantees":{"ColdFrom":0.2,"ColdMs":10000.0,"FallMultiple":2.0,"FallMs":1000.0},
"Profiles":[{"Name":"all-parts","AimMs":500.0,"DeadlineMs":1000.0,"Effect":"retryable","KeyTtlMs":0.0},
{"Name":"any-half","AimMs":500.0,"DeadlineMs":1000.0,"Effect":"retryable","KeyTtlMs":0.0}]}`

// Run shows it, with the mixer's program at a path, and writes to w.
func Run(ctx context.Context, program string, w io.Writer) error {
	dir, err := os.MkdirTemp("", "nettlefold-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	list := &toy.List{}
	at := httptest.NewServer(list)
	defer at.CloseClientConnections()
	var known toy.Message
	known.Index, known.Snapshot = 1, true
	for i := range 6 {
		s := &toy.Searcher{Name: fmt.Sprintf("s-%d", i), Zone: "here", Cell: i % 2, Took: 20 * time.Millisecond}
		if err := s.Start(); err != nil {
			return err
		}
		defer s.Stop()
		known.Endpoints = append(known.Endpoints, s.Entry("SERVING"))
	}
	list.Say(known)
	shared := &standin.Server{}
	if err := shared.Start(""); err != nil {
		return err
	}
	defer shared.Stop()
	fmt.Fprintf(w, "six searchers, a list, a stand-in store at %s\n", shared.Address())

	var mixers, admins []string
	for i := range 2 {
		listen, err := free()
		if err != nil {
			return err
		}
		admin, err := free()
		if err != nil {
			return err
		}
		config, err := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", i), "listen": listen, "seed": fmt.Sprintf("%016x", i+1),
			"discovery": strings.TrimPrefix(at.URL, "http://"), "limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256},
			"known": known, "settings": json.RawMessage(settings)})
		if err != nil {
			return err
		}
		own := fmt.Sprintf(`<nettlefold xmlns="urn:nettlefold:settings:1"><logging level="warn"/><listeners><admin address="%s"/></listeners><store address="%s" site="demo"/></nettlefold>`,
			admin, shared.Address())
		paths := []string{filepath.Join(dir, fmt.Sprintf("n%d.json", i)), filepath.Join(dir, fmt.Sprintf("n%d.xml", i))}
		if err := os.WriteFile(paths[0], config, 0o600); err != nil {
			return err
		}
		if err := os.WriteFile(paths[1], []byte(own), 0o600); err != nil {
			return err
		}
		cmd := exec.CommandContext(ctx, program, "serve", "-c", paths[0], "-s", paths[1])
		cmd.Stderr = w
		if err := cmd.Start(); err != nil {
			return err
		}
		defer func() {
			cmd.Process.Signal(syscall.SIGTERM)
			cmd.Wait()
		}()
		mixers, admins = append(mixers, listen), append(admins, admin)
	}
	for _, m := range mixers {
		if err := healthy(ctx, m); err != nil {
			return err
		}
		fmt.Fprintf(w, "a mixer at %s\n", m)
	}
	for i := range 6 {
		tariff := []string{"all-parts", "any-half"}[i%2]
		body := fmt.Sprintf(`{"shards":[{"shard":%d,"weight":0.5},{"shard":%d,"weight":0.5}],"q":"block %d"}`, i, (i+1)%8, i)
		code, answer, err := ask(ctx, mixers[i%2], tariff, fmt.Sprintf("%016x", i+1), body)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s at mixer %d: %d %s\n", tariff, i%2, code, answer)
		if code != http.StatusOK {
			return fmt.Errorf("a lookup was answered with %d", code)
		}
	}
	// The names of a site are read every eighth round, and a sheet in the next one.
	for wait := time.Now().Add(10 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		state, err := get(ctx, "http://"+admins[0]+"/sharing")
		if err == nil && strings.Contains(state, `"Others":1`) {
			fmt.Fprintf(w, "mixer 0 shares: %s\n", state)
			break
		}
		if time.Now().After(wait) {
			return fmt.Errorf("the mixers did not hear of each other: %s, %v", state, err)
		}
	}
	why, err := get(ctx, "http://"+admins[0]+"/why?searcher=s-0")
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "why s-0 stands as it does: %s\n", why)
	return nil
}

func healthy(ctx context.Context, address string) error {
	for wait := time.Now().Add(10 * time.Second); time.Now().Before(wait); time.Sleep(20 * time.Millisecond) {
		if _, err := get(ctx, "http://"+address+"/_health"); err == nil {
			return nil
		}
	}
	return fmt.Errorf("the mixer at %s did not come up", address)
}

func get(ctx context.Context, url string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	code, body, err := do(r)
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("%s: %d", url, code)
	}
	return body, err
}

func ask(ctx context.Context, address, tariff, id, body string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/api", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("X-Txn", id)
	r.Header.Set("X-Lane", tariff)
	r.Header.Set("X-Remaining-Ms", "900")
	return do(r)
}

func do(r *http.Request) (int, string, error) {
	c := http.Client{Timeout: 5 * time.Second}
	res, err := c.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	return res.StatusCode, strings.TrimSpace(string(raw)), err
}
