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

// PathList is the path at which the discovery service serves the member list.
const PathList = "/catalog/members"

// PathWatch returns the path at which the discovery service streams the changes after a version.
func PathWatch(sinceVersion int64) string {
	return PathList + "?follow=1&since=" + strconv.FormatInt(sinceVersion, 10)
}

// Member is a searcher in the member list.
type Member struct {
	routing.Entry
	Address   string    // host:port
	StartTime time.Time // of its process: Started as a time; zero for long ago
}

// MemberList is one message of the member list: a snapshot, or the members that have changed.
type MemberList struct {
	Version  int64
	Snapshot bool
	Members  []Member
	Skipped  []SkippedMember // invalid members, left out of Members
}

// SkippedMember names an invalid member and why it was left out.
type SkippedMember struct{ Searcher, Reason string }

var statusByName = map[string]mixer.Status{"SERVING": mixer.Live, "DRAINING": mixer.Draining, "DELETED": mixer.Dead}

// statusNames is the inverse of statusByName.
var statusNames = map[mixer.Status]string{mixer.Live: "SERVING", mixer.Draining: "DRAINING", mixer.Dead: "DELETED"}

// ReadMemberList parses raw, which has to hold exactly one message of the member list. Invalid members are
// left out and reported in Skipped.
func ReadMemberList(raw []byte) (MemberList, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	out, err := readList(decoder)
	if err != nil || len(bytes.TrimLeft(raw[decoder.InputOffset():], " \t\r\n")) > 0 {
		// A syntax error is reported as json.Unmarshal does, with the offset in all of raw, trailing data included.
		if syntaxErr := json.Unmarshal(raw, new(ignoredValue)); syntaxErr != nil {
			err = syntaxErr
		}
		return MemberList{}, fmt.Errorf("list: %w", err)
	}
	return out, nil
}

// Entries returns the members in the form that the router takes.
func (l MemberList) Entries() []routing.Entry {
	entries := make([]routing.Entry, len(l.Members))
	for i, m := range l.Members {
		entries[i] = m.Entry
	}
	return entries
}
