package several

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"nettlefold/internal/settings"
)

// Relay is one control relay: a process of the program, or a stand-in within the rig. The wires, which relay bytes, lie between
// it and each mixer, and between it and each other.
type Relay struct {
	process
	control map[string]string // addresses by which it reaches the others
	stand   http.Handler      // a stand-in, nil: the program
	served  []*http.Server
}

// Start starts the control relay. It holds nothing until others or an operator have told it.
func (r *Relay) Start() error {
	w := r.w
	if r.stand != nil {
		return r.serve()
	}
	path := filepath.Join(w.dir, r.Name+".xml")
	own := fmt.Sprintf(`<nettlefold xmlns="%s"><logging level="info"/>%s</nettlefold>`, settings.Namespace,
		w.control(&r.process, r.control))
	if err := os.WriteFile(path, []byte(own), 0o600); err != nil {
		return err
	}
	return r.run(nil, "relay", "--name", r.Name, "--admin", w.address(r.index, portAdmin), "--settings", path)
}

// serve has the stand-in listen where the process would.
func (r *Relay) serve() error {
	for _, port := range []int{portServe, portAdmin} {
		l, err := net.Listen("tcp", r.w.address(r.index, port))
		if err != nil {
			return err
		}
		at := &http.Server{Handler: r.stand}
		r.served = append(r.served, at)
		r.w.wg.Go(func() { at.Serve(l) })
	}
	r.w.net.runs(r.Name, true)
	return nil
}

// unserve ends a stand-in.
func (r *Relay) unserve() {
	for _, at := range r.served {
		at.Close()
	}
	r.served = nil
}

// Kill ends the control relay as a crash does.
func (r *Relay) Kill() error {
	if r.stand == nil {
		return r.process.Kill()
	}
	r.w.net.runs(r.Name, false)
	r.unserve()
	return nil
}

// control gives the element of the settings by which a process knows the control relays, each by its own wire.
func (w *World) control(p *process, by map[string]string) string {
	if len(w.Relays) == 0 {
		return ""
	}
	rows := strings.Builder{}
	for _, r := range w.Relays {
		at := by[r.Name]
		if r.Name == p.Name {
			at = w.address(r.index, portServe)
		}
		fmt.Fprintf(&rows, `<relay name="%s" region="%s" address="%s"/>`, r.Name, r.Site, at)
	}
	return fmt.Sprintf(`<control region="%s" window="%s">%s</control>`, p.Site, w.Window, &rows)
}

// relay gives the control relay of a name.
func (w *World) relay(name string) (*Relay, error) {
	for _, r := range w.Relays {
		if r.Name == name {
			return r, nil
		}
	}
	return nil, fmt.Errorf("no control relay is %s", name)
}

// parties are what plans kill, start, stop and restart.
type party interface {
	Start() error
	Kill() error
	Leave() error
	Stop() error
	Continue() error
}

// processes does something to all processes of a pattern, mixers and control relays, at once where it may take long.
func processes(pattern, what string, do func(party) error) Step {
	return step(func(w *World) error {
		var all []party
		for _, m := range w.Mixers {
			if matches(pattern, m.Name) {
				all = append(all, m)
			}
		}
		for _, r := range w.Relays {
			if matches(pattern, r.Name) {
				all = append(all, r)
			}
		}
		if len(all) == 0 {
			return fmt.Errorf("no process is %s", pattern)
		}
		errs := make(chan error, len(all))
		for _, p := range all {
			go func() { errs <- do(p) }()
		}
		var first error
		for range all {
			if err := <-errs; err != nil && first == nil {
				first = err
			}
		}
		return first
	}, "processes %s %s", pattern, what)
}
