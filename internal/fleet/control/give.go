package control

import (
	"errors"
	"fmt"
	"strings"
)

// Reasons why no version is given, besides *NoMajority and *NotNewest.
var (
	ErrDocument = errors.New("the document is not an object of at most 32 KiB")
	ErrFull     = errors.New("the greatest number is given; a new epoch begins anew")
)

// NoMajority says that a relay may not number now. It counts relays, this one among them.
type NoMajority struct {
	Heard, Needed int
	Answered      int   // of those heard, since the question
	After         int64 // ns, where it is the start that has to be waited for; else 0
}

func (n *NoMajority) Error() string {
	if n.After > 0 {
		return fmt.Sprintf("this relay has just started and knows no version; for %.1f s more a mixer may come with one",
			float64(n.After)/1e9)
	}
	if n.Heard >= n.Needed {
		return fmt.Sprintf("%d of the relays have answered since the version came, %d are needed", n.Answered, n.Needed)
	}
	return fmt.Sprintf("%d of the relays are in contact and have told all they hold, %d are needed", n.Heard, n.Needed)
}

// NotNewest says that the version after which one was to be given is not the newest.
type NotNewest struct{ Newest Stamp }

func (n *NotNewest) Error() string {
	return fmt.Sprintf("the newest version is %d.%d by %q", n.Newest.Epoch, n.Newest.Number, n.Newest.Author)
}

// Newest is the greatest stamp that this relay knows of: held, or told by a mixer here or at another relay.
func (r *Relay) Newest() Stamp {
	newest := r.table.Settings()
	if r.flaw.below {
		return newest
	}
	all := []Stamp{r.told}
	for _, p := range r.peers {
		s := r.toldBy(p)
		e := r.echoOf(p)
		all = append(all, s.Told, s.Holds, e.Told, e.Holds)
	}
	for _, s := range all {
		if s.Compare(newest) > 0 {
			newest = s
		}
	}
	return newest
}

// Give numbers a document: after the newest version that is known, in its epoch or a new one. It needs a question of Ask, put after
// the document came, that a majority of the relays has answered: being heard a moment ago is not enough, as the line may have been
// cut since. Two relays that give at one moment, each with the other's answer from before the other gave, may still give the same
// number; the greater author counts. An author is a relay's name and life, so no life numbers as another did. Where after is set, it
// must have the newest one's epoch and number. Errors: *NoMajority, *NotNewest, ErrDocument, ErrFull.
func (r *Relay) Give(now int64, q uint64, document []byte, after *Stamp, newEpoch bool) (Row, error) {
	names, need := r.Contact(now)
	newest := r.Newest()
	none := NoMajority{Heard: len(names) + 1, Needed: need, Answered: r.answered(now, q)}
	if none.Answered < need && !r.flaw.minority {
		return Row{}, &none
	}
	if wait := r.started + r.o.Wait - now; wait > 0 && newest == (Stamp{}) && !r.flaw.atOnce {
		none.After = wait
		return Row{}, &none
	}
	if after != nil && (after.Epoch != newest.Epoch || after.Number != newest.Number) {
		return Row{}, &NotNewest{newest}
	}
	s := Stamp{max(newest.Epoch, 1), newest.Number + 1, r.o.Name + "/" + r.o.Life}
	if newEpoch {
		s.Epoch, s.Number = newest.Epoch+1, 1
	}
	if r.flaw.noLife {
		s.Author = r.o.Name
	}
	if !s.fits() {
		return Row{}, ErrFull
	}
	row, _, ok := fit(Row{Kind: KindSettings, Name: SettingsName, Stamp: s, Body: document})
	if !ok || !strings.HasPrefix(string(row.Body), "{") {
		return Row{}, ErrDocument
	}
	r.merge([]Row{row})
	r.given = s
	return row, nil
}

// Held counts the relays, this one among them, that hold a version or a greater one as far as is known here.
func (r *Relay) Held(s Stamp) (relays int) {
	if r.table.Settings().Compare(s) >= 0 {
		relays++
	}
	for _, p := range r.peers {
		if r.toldBy(p).Holds.Compare(s) >= 0 {
			relays++
		}
	}
	return relays
}
