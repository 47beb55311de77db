package control

import (
	"encoding/json"
	"maps"
)

// AskEvery is the least time in ns between two makings of a relay's row of KindEcho. What waits meanwhile shares the next one.
const AskEvery = second / 50

// Question is a relay's question to all others, by the life that asks it: whoever reads it says so.
type Question struct {
	Life string `json:"life"`
	Asks uint64 `json:"asks"` // counts the questions of the life
}

// Echo is the body of a relay's row of KindEcho. It is made when there is a new question, of this relay or of another that it has
// read; what it holds and was told is as of then.
type Echo struct {
	Question                     // the last one of this relay
	Echoes   map[string]Question `json:"echoes,omitempty"` // the last one read of each other relay, by its name
	Holds    Stamp               `json:"holds"`            // of the settings row
	Told     Stamp               `json:"told"`             // the greatest that a mixer told
}

// echoOf gives what another relay asks and has read last, by whatever way it came here.
func (r *Relay) echoOf(p *peer) Echo {
	e := r.table.rows[key{KindEcho, p.Name}]
	if e == nil {
		p.echo, p.echoAt = Echo{}, 0
	} else if e.index != p.echoAt {
		p.echo, p.echoAt = Echo{}, e.index
		if json.Unmarshal(e.row.Body, &p.echo) != nil {
			p.echo = Echo{}
		}
	}
	return p.echo
}

// Ask gives the number of the first question that the other relays are asked from now on: the next one, which goes out at once, or
// with a later Step where the last one has just gone. Many who ask meanwhile share it.
func (r *Relay) Ask(now int64) (q uint64) {
	if r.wanted == r.asked {
		r.wanted++
	}
	q = r.wanted
	r.tellEcho(now)
	return q
}

// tellEcho remakes the relay's row of KindEcho where there is a new question. It gives ns after which that is due, 0: it is not.
func (r *Relay) tellEcho(now int64) (changed bool, wait int64) {
	if len(r.peers) == 0 {
		r.asked = r.wanted
		return false, 0
	}
	echoes := map[string]Question{}
	for _, p := range r.peers {
		if e := r.echoOf(p); e.Asks > 0 {
			echoes[p.Name] = e.Question
		}
	}
	own, _ := r.table.Get(KindEcho, r.o.Name)
	if r.wanted == r.asked && maps.Equal(echoes, r.echoes) && own.Stamp == r.echoStamp { // else one of a life before came in between
		return false, 0
	}
	if wait = r.echoMade + AskEvery - now; wait > 0 {
		return false, wait
	}
	r.asked, r.echoes, r.echoMade = r.wanted, echoes, now
	e := Echo{Question{r.o.Life, r.asked}, echoes, r.table.Settings(), r.told}
	changed = r.say(Row{Kind: KindEcho, Name: r.o.Name, Body: body(e)})
	own, _ = r.table.Get(KindEcho, r.o.Name)
	r.echoStamp = own.Stamp
	return changed, 0
}

// answered counts the relays, this one among them, that are in contact and have read a question of this life since it was asked.
func (r *Relay) answered(now int64, q uint64) (relays int) {
	names, _ := r.Contact(now)
	if r.flaw.stale {
		return len(names) + 1
	}
	for _, name := range names {
		p := r.peer(name)
		e := r.echoOf(p).Echoes[r.o.Name]
		same := e.Life == r.o.Life || r.flaw.echoLife
		if same && q > 0 && e.Asks >= q && (p.follower.settled || r.flaw.atOnce) {
			relays++
		}
	}
	return relays + 1
}

// Answered tells whether a majority of the relays, this one counted, has read a question since it was asked and has said so here.
func (r *Relay) Answered(now int64, q uint64) bool { return r.answered(now, q) >= r.majority() }

func (r *Relay) majority() int { return len(r.o.Seats)/2 + 1 }
