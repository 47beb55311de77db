package roster

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// delegate carries memberlist's calls to the ledger, and ours to memberlist. Memberlist calls it from several goroutines, some
// with a lock of its own held: nothing here calls memberlist.
type delegate struct{ r *Roster }

var errRoom = errors.New("no room for one more member")

// NotifyAlive refuses who cannot be read and who has no place, so that memberlist holds no more than the ledger.
func (d delegate) NotifyAlive(n *memberlist.Node) error {
	life, _, err := lifeOf(n.Name, n.Meta)
	if err != nil {
		return err
	}
	r := d.r
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ledger.room(life) {
		r.full = false
		return nil
	}
	if !r.full {
		r.log.Warn("a member is refused: the roster is full", "member", life.Name, "site", life.Site, "most", r.most)
	}
	r.full = true
	return errRoom
}

// NotifyJoin is memberlist's word that somebody is alive.
func (d delegate) NotifyJoin(n *memberlist.Node) { d.alive(n) }

// NotifyUpdate is its word that somebody says something else of himself.
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.alive(n) }

func (d delegate) alive(n *memberlist.Node) {
	if life, term, err := lifeOf(n.Name, n.Meta); err == nil {
		d.r.meet(life, term, &net.UDPAddr{IP: append(net.IP(nil), n.Addr...), Port: int(n.Port)})
	}
}

// NotifyLeave is its word that somebody is dead or has left, which it does not tell apart here: a goodbye comes as news of its
// own.
func (d delegate) NotifyLeave(n *memberlist.Node) {
	if life, _, err := lifeOf(n.Name, n.Meta); err == nil {
		d.r.step(event{what: lost, life: life})
	}
}

// AckPayload is empty: an answer is evidence enough.
func (d delegate) AckPayload() []byte { return nil }

// NotifyPingComplete is an answer to one of memberlist's own pings.
func (d delegate) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	if name, life, err := parted(n.Name); err == nil {
		d.r.step(event{what: heard, life: Life{Name: name, Life: life}})
	}
}

// NodeMeta tells our life.
func (d delegate) NodeMeta(int) []byte {
	d.r.mu.Lock()
	defer d.r.mu.Unlock()
	return encoded(metaOf(d.r.self, d.r.term))
}

// GetBroadcasts gives what news there is to tell.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.r.queue.GetBroadcasts(overhead, limit)
}

// NotifyMsg takes news. What nobody takes in time is dropped: the next exchange has it.
func (d delegate) NotifyMsg(raw []byte) {
	var n news
	if len(raw) > 2*MostNews || decode.Unmarshal(raw, &n) != nil || len(n.Name) > mostText || len(n.What) > MostNews {
		return
	}
	r := d.r
	if n.Life == r.self.Life || !r.seen.first(n.Life, n.Number) {
		return
	}
	if n.Bye {
		r.step(event{what: bye, life: Life{Name: n.Name, Life: n.Life}})
	}
	r.spread(append([]byte(nil), raw...))
	if len(n.What) > 0 {
		select {
		case r.inbox <- n:
		default:
		}
	}
}

// LocalState is our half of an exchange.
func (d delegate) LocalState(bool) []byte {
	r := d.r
	x := exchange{Name: r.self.Name, Life: r.self.Life}
	r.mu.Lock()
	now := r.now()
	for _, m := range r.ledger.rest(mostRest) {
		x.Rest = append(x.Rest, rest{Name: m.Name, Life: m.Life.Life, Meta: metaOf(m.Life, m.Term), Bye: m.Why == Goodbye,
			Age: now - m.At})
	}
	r.mu.Unlock()
	if r.exchange != nil {
		if x.State = r.exchange.Offer(r.mostState); len(x.State) > r.mostState {
			r.log.Error("what is offered for exchange is left out: too long", "bytes", len(x.State), "most", r.mostState)
			x.State = nil
		}
	}
	return encoded(x)
}

// MergeRemoteState takes the other's half.
func (d delegate) MergeRemoteState(raw []byte, _ bool) {
	r := d.r
	var x exchange
	if len(raw) > r.mostState+mostRest*mostMeta {
		r.log.Warn("an exchange is refused: too long", "bytes", len(raw))
		return
	}
	if err := decode.Unmarshal(raw, &x); err == nil && x.Life == r.self.Life {
		return // among the addresses to join is our own
	} else if err != nil || len(x.Name) > mostText || len(x.Rest) > mostRest || len(x.State) > r.mostState {
		r.log.Warn("an exchange is refused: not of this form", "error", err)
		return
	}
	r.step(event{what: heard, life: Life{Name: x.Name, Life: x.Life}})
	for _, m := range x.Rest {
		if len(m.Name) > mostText || m.Meta.check() != nil || m.Age < 0 {
			continue
		}
		e := event{what: told, life: m.Meta.of(m.Name, m.Life), term: m.Meta.Term, age: m.Age}
		if m.Bye {
			e.what = bye
		}
		r.step(e)
	}
	select {
	case r.settle <- struct{}{}: // all that the other knows is in
	default:
	}
	if r.exchange != nil && len(x.State) > 0 {
		if err := r.exchange.Take(x.Name, x.State); err != nil {
			r.log.Warn("what another told is refused", "from", x.Name, "life", strconv.FormatUint(x.Life, 16), "error", err)
		}
	}
}
