package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

// PathList is where discovery gives the list.
const PathList = "/catalog/members"

// PathWatch is where discovery gives what has changed since a version, and goes on doing so.
func PathWatch(since int64) string {
	return PathList + "?follow=1&since=" + strconv.FormatInt(since, 10)
}

// Member is a searcher of the list and where it is reached.
type Member struct {
	routing.Entry
	Address string
	Since   time.Time // its latest start, zero for long ago
}

// List is one message of the list: all of it, or what has changed.
type List struct {
	Version int64
	Whole   bool
	Members []Member
	Skipped []Skipped // members that could not be read
}

// Skipped is a member of the list that nothing can be made of.
type Skipped struct{ Searcher, Fault string }

type list struct {
	Index    *int64 `json:"index"`
	Snapshot bool   `json:"snapshot"`
	Members  []struct {
		Name    string          `json:"name"`
		Address string          `json:"address"`
		Zone    string          `json:"zone"`
		Cell    *int            `json:"group"`
		Status  string          `json:"status"`
		Since   float64         `json:"since_ms"`
		Size    json.RawMessage `json:"weight"`
	} `json:"endpoints"`
}

var states = map[string]mixer.Status{"SERVING": mixer.Live, "DRAINING": mixer.Draining, "DELETED": mixer.Dead}

// ReadList reads one message of the list. Members it can make nothing of are left out and named.
func ReadList(raw []byte) (List, error) {
	var in list
	if err := json.Unmarshal(raw, &in); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if in.Index == nil {
		return List{}, errors.New("list: index: missing")
	}
	out := List{Version: *in.Index, Whole: in.Snapshot}
	for i, m := range in.Members {
		state, ok := states[m.Status]
		fault := ""
		switch {
		case m.Name == "":
			fault = "name: missing"
		case !ok:
			fault = fmt.Sprintf("status: unknown %q", clip(m.Status))
		case m.Cell == nil:
			fault = "group: missing"
		case m.Address == "" && state != mixer.Dead:
			fault = "address: missing"
		case !(m.Since >= 0 && m.Since < 1e15):
			fault = fmt.Sprintf("since_ms: %v", m.Since)
		}
		if fault != "" {
			out.Skipped = append(out.Skipped, Skipped{m.Name, fmt.Sprintf("endpoints[%d]: %s", i, fault)})
			continue
		}
		e := Member{Address: m.Address}
		if size, err := strconv.ParseFloat(string(m.Size), 64); err == nil && size > 0 && size < 1e9 {
			e.Size = size // one that cannot be read is as good as none: the searcher serves all the same
		}
		e.Searcher, e.Zone, e.Cell, e.Status, e.Started = m.Name, m.Zone, *m.Cell, state, charter.Nanos(m.Since)
		if m.Since > 0 {
			e.Since = time.Unix(0, e.Started)
		}
		out.Members = append(out.Members, e)
	}
	return out, nil
}

// Entries gives the members as the module is told them.
func (l List) Entries() []routing.Entry {
	rows := make([]routing.Entry, len(l.Members))
	for i, m := range l.Members {
		rows[i] = m.Entry
	}
	return rows
}
