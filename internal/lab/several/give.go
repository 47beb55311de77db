package several

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"nettlefold/internal/fleet/control"
)

// post gives a control relay a version by its admin listener, which stands on its own machine: no wire lies between. The answer's
// status is 0 where none came.
func (r *Relay) post(body string, header ...string) (status int, answer string, stamp control.Stamp, err error) {
	q, err := http.NewRequest("POST", "http://"+r.w.address(r.index, portAdmin)+"/control/versions", strings.NewReader(body))
	if err != nil {
		return 0, "", stamp, err
	}
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(q)
	if err != nil {
		return 0, "", stamp, err
	}
	defer a.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(a.Body, 1<<20))
	if err != nil {
		return 0, "", stamp, err
	}
	if a.StatusCode == http.StatusOK {
		err = json.Unmarshal(raw, &stamp)
	}
	return a.StatusCode, strings.TrimSpace(string(raw)), stamp, err
}

// Give has an operator give a version to a control relay, and asks again while that says that it cannot number now.
func Give(relay, name string, d Document, header ...string) Step {
	return step(func(w *World) error {
		r, err := w.relay(relay)
		if err != nil {
			return err
		}
		v := w.given.offer(name, relay, d)
		wrong := error(nil)
		err = w.Until(name+" is taken", func() error {
			status, answer, stamp, err := r.post(d.Body, header...)
			switch {
			case err != nil:
				return err
			case status == http.StatusServiceUnavailable:
				return errors.New(answer)
			case status != http.StatusOK:
				wrong = fmt.Errorf("%s: %d %s", name, status, answer)
				return nil
			}
			w.given.taken(v, stamp)
			return nil
		})
		return errors.Join(err, wrong)
	}, "%s is given to %s", name, relay)
}

// GiveByHand has the program give a version, as an operator does who stands at the control relay's machine.
func GiveByHand(relay, name string, d Document) Step {
	return step(func(w *World) error {
		r, err := w.relay(relay)
		if err != nil {
			return err
		}
		path := filepath.Join(w.dir, "given.json")
		if err := os.WriteFile(path, []byte(d.Body), 0o600); err != nil {
			return err
		}
		v := w.given.offer(name, relay, d)
		raw, err := exec.Command(w.Program, "give", path, "--relay", w.address(r.index, portAdmin)).CombinedOutput()
		var stamp control.Stamp
		if err == nil {
			err = json.Unmarshal(raw, &stamp)
		}
		if err != nil {
			return fmt.Errorf("%w: %s", err, raw)
		}
		w.given.taken(v, stamp)
		return nil
	}, "%s is given to %s by hand", name, relay)
}

// GiveMeanwhile gives a version and plays steps while that is under way: what becomes of it is not said.
func GiveMeanwhile(relay, name string, d Document, meanwhile ...Step) Step {
	return step(func(w *World) error {
		r, err := w.relay(relay)
		if err != nil {
			return err
		}
		v, answered := w.given.offer(name, relay, d), make(chan struct{})
		go func() {
			defer close(answered)
			if status, _, stamp, err := r.post(d.Body); err == nil && status == http.StatusOK {
				w.given.taken(v, stamp)
			}
			w.given.answered(v)
		}()
		for _, s := range meanwhile {
			if err := s.Do(w); err != nil {
				return fmt.Errorf("%s: %w", s.What, err)
			}
		}
		<-answered
		return nil
	}, "%s is given to %s, meanwhile %s", name, relay, whats(meanwhile))
}

// Out waits until a version that is under way is in force at some mixer, or its giver has been answered.
func Out(name string) Step {
	return Holds(name+" is out", func(w *World) error {
		g := w.given
		g.mu.Lock()
		defer g.mu.Unlock()
		v := g.versions[name]
		for s := range g.forced {
			if strings.HasPrefix(s.Author, v.author) && s.Compare(v.before) > 0 {
				return nil
			}
		}
		if !v.answered {
			return errors.New("nobody has it in force")
		}
		return nil
	})
}

func whats(steps []Step) string {
	all := make([]string, len(steps))
	for i, s := range steps {
		all[i] = s.What
	}
	return strings.Join(all, "; ")
}

// GiveRefused has a control relay refuse a version: with a status and words in its answer.
func GiveRefused(relay string, d Document, status int, words string, header ...string) Step {
	return step(func(w *World) error {
		r, err := w.relay(relay)
		if err != nil {
			return err
		}
		wrong := error(nil)
		err = w.Until("it is refused", func() error {
			got, answer, _, err := r.post(d.Body, header...)
			switch {
			case err != nil:
				return err
			case got == http.StatusServiceUnavailable && got != status:
				return errors.New(answer)
			case got != status || !strings.Contains(answer, words):
				wrong = fmt.Errorf("%s answers %d %s, want %d with %q", relay, got, answer, status, words)
			}
			return nil
		})
		return errors.Join(err, wrong)
	}, "%s refuses a version: %d %s", relay, status, words)
}

// GiveToMinority has a control relay that knows itself to be of a minority refuse a version.
func GiveToMinority(relay string, d Document) Step {
	return step(func(w *World) error {
		r, err := w.relay(relay)
		if err != nil {
			return err
		}
		err = w.Until(relay+" knows that it is of a minority", func() error {
			s, err := r.status()
			if err == nil && len(s.Contact)+1 >= s.Majority {
				err = fmt.Errorf("it hears %v", s.Contact)
			}
			return err
		})
		if err != nil {
			return err
		}
		status, answer, _, err := r.post(d.Body)
		if err != nil {
			return err
		}
		if status == http.StatusOK {
			w.Book.Break(ruleMinority, "%s: %s", relay, answer)
		} else if status != http.StatusServiceUnavailable {
			return fmt.Errorf("%s answers %d %s", relay, status, answer)
		}
		return nil
	}, "%s is of a minority and refuses a version", relay)
}
