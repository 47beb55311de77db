package several

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"nettlefold/example/toy"
	"nettlefold/internal/settings"
)

// Ports of a party, each of which has an address of its own, and below those that the system hands out.
const (
	portServe, portAdmin, portGossip, portAgent = 9000, 9001, 9002, 9003
	portWire, portGossipWire                    = 10000, 11000 // and the number of who comes
)

// Mixer is one process of the program, with the agent of its machine.
type Mixer struct {
	process
	Agent   *Agent
	looking sync.Mutex // held while it is asked for its version

	searchers map[string]string // addresses by which it reaches them
	routes    map[string]string // addresses by which it reaches the others' gossip
	control   map[string]string // addresses by which it reaches control relays
}

// address gives the address of a party's port.
func (w *World) address(index, port int) string {
	return fmt.Sprintf("%s.%d:%d", w.block, index+1, port)
}

// Start starts the process with the list as its agent has it. It does not wait until it is healthy.
func (m *Mixer) Start() error {
	w := m.w
	config := object{"name": m.Name, "listen": w.address(m.index, portServe),
		"seed":      fmt.Sprintf("%016x", w.Seed<<16+int64(m.index)),
		"discovery": w.address(m.index, portAgent), "limits": object{"cores": 1.0, "memory_mb": 64, "sockets": 1024},
		"known": m.Agent.list.Whole(), "settings": w.settings(m)}
	raw, err := json.Marshal(config)
	if err != nil {
		return err
	}
	paths := []string{filepath.Join(w.dir, m.Name+".json"), filepath.Join(w.dir, m.Name+".xml")}
	if err := os.WriteFile(paths[0], raw, 0o600); err != nil {
		return err
	}
	own := fmt.Sprintf(`<nettlefold xmlns="%s"><logging level="info"/><listeners><admin address="%s"/></listeners>%s</nettlefold>`,
		settings.Namespace, w.address(m.index, portAdmin), w.fleet(m))
	if err := os.WriteFile(paths[1], []byte(own), 0o600); err != nil {
		return err
	}
	return m.run([]string{"LB_CONFIG=" + paths[0], "NETTLEFOLD_SETTINGS=" + paths[1]})
}

// sees gives how a mixer sees the others: here, doubted, cut off or gone, that of the liveliest life of each name.
func (m *Mixer) sees() (map[string]string, error) {
	raw, err := m.Ask("/fleet")
	if err != nil {
		return nil, err
	}
	var told struct {
		Members []struct{ Name, State string }
	}
	if err := json.Unmarshal(raw, &told); err != nil {
		return nil, err
	}
	all, order := map[string]string{}, []string{"", "gone", "cut off", "doubted", "here"}
	for _, o := range told.Members {
		if slices.Index(order, o.State) > slices.Index(order, all[o.Name]) {
			all[o.Name] = o.State
		}
	}
	return all, nil
}

// judges gives how a mixer judges the sites: kind, and whether it is declared.
func (m *Mixer) judges() (map[string]judged, error) {
	raw, err := m.Ask("/fleet")
	if err != nil {
		return nil, err
	}
	var told struct {
		Tables []struct {
			Name  string
			State json.RawMessage
		}
	}
	if err := json.Unmarshal(raw, &told); err != nil {
		return nil, err
	}
	all := map[string]judged{}
	for _, t := range told.Tables {
		var rows []judged
		if t.Name == "sites" && json.Unmarshal(t.State, &rows) == nil { // before its first round it has no rows
			for _, r := range rows {
				all[r.Site] = r
			}
		}
	}
	return all, nil
}

type judged struct {
	Site, Kind string
	Declared   bool
}

// entry gives a searcher's entry of the list as this mixer is told it.
func (m *Mixer) entry(s *Searcher, status string) toy.Member {
	e := s.toy.Entry(status)
	e.Address, e.Since = m.searchers[s.Name], float64(s.bornAt().UnixMilli())
	if s.bornAt().IsZero() {
		e.Since = 0
	}
	return e
}
