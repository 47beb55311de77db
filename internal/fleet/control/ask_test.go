package control

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// trio is three relays that tell each other by hand, each its own row of KindEcho alone.
type trio struct {
	t      *testing.T
	now    int64
	relays []*Relay
}

func newTrio(t *testing.T) *trio {
	c := &trio{t: t, now: 2 * second}
	for _, s := range seats {
		c.relays = append(c.relays, relayOf(t, RelayOptions{Name: s.Name, Life: "1", Seats: seats}))
	}
	for _, r := range c.relays {
		c.settle(r)
	}
	return c
}

// settle has a relay hear the others, which say that they hear all.
func (c *trio) settle(r *Relay) {
	for _, f := range r.Followers() {
		f.Next(c.now)
		f.Opened(c.now, "1")
		name := f.seats[0].Name
		row := Row{Kind: KindRelay, Name: name, Stamp: Stamp{1, 1, name}, Body: body(Standing{Contact: []string{"r-0", "r-1", "r-2"}})}
		if _, _, err := f.Take(c.now, Piece{Index: 1, Snapshot: true, Rows: []Row{row}}); err != nil {
			c.t.Fatal(err)
		}
	}
}

// tell has one relay read what another has to say by now.
func (c *trio) tell(from, to int) {
	c.t.Helper()
	r := c.relays[from]
	r.tellEcho(c.now)
	if row, ok := r.table.Get(KindEcho, r.o.Name); ok {
		c.relays[to].take([]Row{row})
	}
}

func (c *trio) pass(ns int64) { c.now += ns }

// TestQuestionsAreShared counts the rows that many questions make, and has none answered by what was said before it.
func TestQuestionsAreShared(t *testing.T) {
	c := newTrio(t)
	a := c.relays[0]
	first := a.Ask(c.now)
	if a.asked != first {
		t.Error("the first question waits")
	}
	next := a.Ask(c.now)
	if next != first+1 || a.asked != first || a.Ask(c.now+1) != next {
		t.Errorf("questions %d and %d, asked %d", first, next, a.asked)
	}
	c.tell(0, 1)
	c.tell(1, 0)
	if !a.Answered(c.now, first) || a.Answered(c.now, next) {
		t.Errorf("the first answered %v, the next one %v", a.Answered(c.now, first), a.Answered(c.now, next))
	}
	var none *NoMajority
	if _, err := a.Give(c.now, next, []byte("{}"), nil, false); !errors.As(err, &none) || none.Heard != 3 || none.Answered != 1 {
		t.Error(err)
	}
	if _, wait := a.tellEcho(c.now); wait != AskEvery {
		t.Errorf("the next question is due in %d", wait)
	}
	c.pass(AskEvery)
	c.tell(0, 2)
	c.tell(2, 0)
	if !a.Answered(c.now, next) {
		t.Error("the next question is not answered")
	}
	before := a.table.index
	for range 1000 { // in a second
		a.Ask(c.now)
		a.tellEcho(c.now)
		c.pass(second / 1000)
	}
	if rows := a.table.index - before; rows > uint64(second/AskEvery)+1 {
		t.Errorf("%d rows in a second", rows)
	}
	if a.Answered(c.now, 0) {
		t.Error("no question counts as answered")
	}
}

// TestAnswersAreOfALife has a relay that returned not take for its own what a life before was answered; nor one unsettled.
func TestAnswersAreOfALife(t *testing.T) {
	c := newTrio(t)
	for range 5 {
		c.relays[0].Ask(c.now)
		c.pass(AskEvery)
		c.tell(0, 1)
	}
	c.pass(AskEvery)
	anew := relayOf(t, RelayOptions{Name: "r-0", Life: "2", Seats: seats})
	old := c.relays[0]
	c.relays[0] = anew
	c.settle(anew)
	q := anew.Ask(c.now)
	c.tell(1, 0)
	if e := anew.echoOf(anew.peer("r-1")).Echoes["r-0"]; e != (Question{"1", 5}) {
		t.Fatalf("%+v", e)
	}
	if anew.Answered(c.now, q) {
		t.Error("an answer to the life before counts")
	}
	anew.flaw.echoLife = true
	if !anew.Answered(c.now, q) {
		t.Error("the planted fault is not found")
	}
	anew.flaw.echoLife = false
	row, _ := old.table.Get(KindEcho, "r-0") // its own row of before goes round, and is gone beyond
	anew.take([]Row{row})
	c.pass(AskEvery)
	c.tell(0, 1)
	c.pass(AskEvery)
	c.tell(1, 0)
	if !anew.Answered(c.now, q) {
		t.Error("the new life is not answered")
	}
	anew.peer("r-1").follower.Lost(c.now)
	if anew.Answered(c.now, q) {
		t.Error("an answer counts without a session")
	}
}

// TestNumbersBeyondWhatAnswersTell has a relay that an answer alone tells of a greater version number beyond it.
func TestNumbersBeyondWhatAnswersTell(t *testing.T) {
	c := newTrio(t)
	b := c.relays[1]
	b.table.Merge([]Row{version(1, 7, "r-1/1")})
	b.told = Stamp{1, 8, "r-2/1"}
	q := c.relays[0].Ask(c.now)
	c.tell(0, 1)
	c.tell(1, 0)
	row, err := c.relays[0].Give(c.now, q, []byte("{}"), nil, false)
	if err != nil || row.Number != 9 {
		t.Errorf("%+v, %v", row, err)
	}
}

// TestMixersHearNoAnswers has questions and answers cost mixers nothing, and relays a bounded row.
func TestMixersHearNoAnswers(t *testing.T) {
	c := newTrio(t)
	a := c.relays[0]
	told := func(s *Session) (rows []Row) {
		for {
			p, ok, wait := s.Next(c.now, a.table)
			if c.pass(wait); !ok && wait == 0 {
				return rows
			}
			for _, row := range p.Rows {
				if row.Kind == KindEcho {
					rows = append(rows, row)
				}
			}
			if ok && s.Mixer && len(p.Rows) == 0 && !p.Snapshot {
				t.Error("an empty piece is told")
			}
		}
	}
	mixer, relay := NewSession(c.now, "m", true, false, 0), NewSession(c.now, "r-1", false, false, 0)
	told(mixer)
	told(relay)
	a.Ask(c.now)
	if rows := told(mixer); len(rows) != 0 {
		t.Errorf("a mixer hears %v", rows)
	}
	if rows := told(relay); len(rows) != 1 {
		t.Errorf("a relay hears %v", rows)
	}
	var many []Seat // the row of the longest list, with names of 64 bytes and numbers and authors of any length
	for i := range MaxSeats {
		many = append(many, Seat{Name: fmt.Sprintf("%064d", i)})
	}
	r, echoes := relayOf(t, RelayOptions{Name: many[0].Name, Life: "0123456789abcdef", Seats: many}), map[string]Question{}
	for _, s := range many[1:] {
		echoes[s.Name] = Question{r.o.Life, MaxCount}
	}
	longest := Stamp{MaxCount, MaxCount, strings.Repeat("x", MaxAuthor)}
	row := Row{Kind: KindEcho, Name: r.o.Name, Stamp: Stamp{1, MaxCount, r.o.Name}, Body: body(Echo{Question{r.o.Life, MaxCount}, echoes,
		longest, longest})}
	if _, size, ok := fit(row); !ok || size > 4<<10 {
		t.Errorf("the longest row takes %d bytes, %v", size, ok)
	} else {
		t.Logf("the longest row takes %d bytes", size)
	}
}
