package chain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Fingerprint returns a text of everything that a later step may depend on.
func (w *searchWorld) Fingerprint() string {
	var b strings.Builder
	for _, id := range w.ids {
		r := w.replicas[id].replica
		fmt.Fprint(&b, id, viewText(&r.meta.View), r.meta.Promised, r.meta.Accepted, r.meta.AcceptedView != nil, r.meta.LogEpoch, r.state.Seq, logText(r.log), r.highestRound)
		if p := r.proposal; p != nil {
			fmt.Fprint(&b, p.ballot, promisesText(p.promises), p.source, p.sourceLastSeq, slices.Sorted(maps.Keys(p.caughtUp)), p.view != nil, slices.Sorted(maps.Keys(p.accepted)))
		}
	}
	var messages []string
	for _, f := range w.inFlight {
		messages = append(messages, inFlightText(&f))
	}
	slices.Sort(messages)
	fmt.Fprint(&b, messages, w.acked, w.ackEpoch, len(w.pendingWrites), w.proposers, w.remainingCrashes, w.remainingLosses, w.remainingWipes, w.wipedDisks)
	return b.String()
}

func promisesText(promises map[NodeID]*Promise) string {
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(promises)) {
		p := promises[id]
		fmt.Fprint(&b, id, p.Ballot, p.Accepted, p.LogEpoch, p.LogLength, ";")
	}
	return b.String()
}

func viewText(v *View) string { return fmt.Sprint(v.Epoch, v.Chain, v.LogLength) }

func logText(log []Entry) string {
	var b strings.Builder
	for _, e := range log {
		fmt.Fprintf(&b, "%d/%d/%x ", e.Seq, e.Epoch, e.Operation)
	}
	return b.String()
}

func inFlightText(f *inFlightMessage) string {
	m := f.message
	text := fmt.Sprint(f.to, m.From.ID, messageKind(&m))
	switch {
	case m.Promise != nil:
		text += fmt.Sprint(m.Promise.Epoch, m.Promise.Ballot, m.Promise.Accepted, m.Promise.LogEpoch, m.Promise.LogLength)
	case m.Prepare != nil:
		text += fmt.Sprint(m.Prepare.View.Epoch, m.Prepare.Ballot)
	case m.Append != nil:
		text += fmt.Sprint(m.Append.Epoch, logText(m.Append.Entries), m.Append.Commit)
	case m.Commit != nil:
		text += fmt.Sprint(*m.Commit)
	case m.CatchUp != nil:
		text += fmt.Sprint(m.CatchUp.Epoch, m.CatchUp.Ballot, len(m.CatchUp.State), logText(m.CatchUp.Entries))
	case m.CaughtUp != nil:
		text += fmt.Sprint(*m.CaughtUp)
	case m.Transfer != nil:
		text += fmt.Sprint(m.Transfer.Epoch, m.Transfer.Ballot, len(m.Transfer.Targets))
	case m.Accept != nil:
		text += fmt.Sprint(m.Accept.Epoch, m.Accept.Ballot, viewText(&m.Accept.View))
	case m.Accepted != nil:
		text += fmt.Sprint(*m.Accepted)
	case m.Decided != nil:
		text += viewText(m.Decided)
	}
	return text
}
