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
	Address   string
	StartTime time.Time // its latest start, zero for long ago
}

// List is one message of the list: all of it, or what has changed.
type MemberList struct {
	Version  int64
	Snapshot bool
	Members  []Member
	Skipped  []SkippedMember // members that could not be read
}

// Skipped is a member of the list that nothing can be made of.
type SkippedMember struct{ Searcher, Reason string }

var statusByName = map[string]mixer.Status{"SERVING": mixer.Live, "DRAINING": mixer.Draining, "DELETED": mixer.Dead}

// written is how a status is written.
var statusNames = map[mixer.Status]string{mixer.Live: "SERVING", mixer.Draining: "DRAINING", mixer.Dead: "DELETED"}

// ReadList reads one message of the list, and nothing but that. Members it can make nothing of are left out and named.
func ReadMemberList(raw []byte) (MemberList, error) {
	in := json.NewDecoder(bytes.NewReader(raw))
	out, err := readList(in)
	if err != nil || len(bytes.TrimLeft(raw[in.InputOffset():], " \t\r\n")) > 0 {
		if unsound := json.Unmarshal(raw, new(ignoredValue)); unsound != nil { // says it as of the whole, also what stands behind it
			err = unsound
		}
		return MemberList{}, fmt.Errorf("list: %w", err)
	}
	return out, nil
}

// Entries gives the members as the module is told them.
func (l MemberList) Entries() []routing.Entry {
	rows := make([]routing.Entry, len(l.Members))
	for i, m := range l.Members {
		rows[i] = m.Entry
	}
	return rows
}
