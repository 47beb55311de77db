package protocol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

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

var states = map[string]mixer.Status{"SERVING": mixer.Live, "DRAINING": mixer.Draining, "DELETED": mixer.Dead}

// written is how a status is written.
var written = map[mixer.Status]string{mixer.Live: "SERVING", mixer.Draining: "DRAINING", mixer.Dead: "DELETED"}

// ReadList reads one message of the list, and nothing but that. Members it can make nothing of are left out and named.
func ReadList(raw []byte) (List, error) {
	in := json.NewDecoder(bytes.NewReader(raw))
	out, err := readList(in)
	if err != nil || len(bytes.TrimLeft(raw[in.InputOffset():], " \t\r\n")) > 0 {
		if unsound := json.Unmarshal(raw, new(passed)); unsound != nil { // says it as of the whole, also what stands behind it
			err = unsound
		}
		return List{}, fmt.Errorf("list: %w", err)
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
