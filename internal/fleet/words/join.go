package words

import (
	"cmp"
	"slices"
	"strings"

	"nettlefold/mixer"
)

// Join puts together what a shared store's mixers and what the relays say, in order of the searchers' names: loans are the store's
// alone, and what relays say of a process goes before what the store's mixers say of it. Where one stands no longer, the other does.
func Join(now int64, store, relays []mixer.PeerReport) []mixer.PeerReport {
	all := map[process]mixer.PeerReport{}
	for _, w := range store {
		all[process{w.Searcher, w.Started}] = w
	}
	for _, w := range relays {
		p := process{w.Searcher, w.Started}
		was, known := all[p]
		if known && w.Until <= now {
			continue
		}
		w.Lent, w.LentUntil, w.AwayUntil = was.Lent, was.LentUntil, was.AwayUntil
		all[p] = w
	}
	joined := make([]mixer.PeerReport, 0, len(all))
	for _, w := range all {
		joined = append(joined, w)
	}
	slices.SortFunc(joined, func(x, y mixer.PeerReport) int {
		return cmp.Or(strings.Compare(x.Searcher, y.Searcher), cmp.Compare(x.Started, y.Started))
	})
	return joined
}
