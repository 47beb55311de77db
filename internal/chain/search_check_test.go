package chain

import (
	"fmt"
	"maps"
)

// Check returns an error for a violated safety property: two views for one epoch, two operations
// committed under one number, an acknowledged write that is lost or on too few disks, or a member
// that serves without its log.
func (w *searchWorld) Check() error {
	views := map[uint64]string{}
	committed := maps.Clone(w.acked)
	for _, id := range w.ids {
		r := w.replicas[id].replica
		text := viewText(&r.meta.View)
		if other, known := views[r.meta.View.Epoch]; known && other != text {
			return fmt.Errorf("epoch %d has two different views", r.meta.View.Epoch)
		}
		views[r.meta.View.Epoch] = text
		for _, e := range r.log {
			if e.Seq > r.state.Seq {
				break
			}
			if other, known := committed[e.Seq]; known && other != string(e.Operation) {
				return fmt.Errorf("sequence number %d is committed with two operations", e.Seq)
			}
			committed[e.Seq] = string(e.Operation)
		}
		for seq, epoch := range w.ackEpoch {
			if r.meta.View.Epoch > epoch && r.meta.View.LogLength < seq {
				return fmt.Errorf("view %d starts without acknowledged sequence number %d", r.meta.View.Epoch, seq)
			}
		}
		if r.holdsChainLog() && r.lastSeq() < r.meta.View.LogLength {
			return fmt.Errorf("%s serves in view %d without its log", id, r.meta.View.Epoch)
		}
	}
	for seq, epoch := range w.ackEpoch {
		if n := w.disks(seq); n < 2-w.wipedDisks {
			return fmt.Errorf("sequence number %d was acknowledged in view %d but is on only %d disks", seq, epoch, n)
		}
	}
	return nil
}

// disks counts the disks that hold an operation.
func (w *searchWorld) disks(seq uint64) (n int) {
	for _, m := range w.replicas {
		held := m.disk.State != nil && m.disk.State.Seq >= seq
		for _, e := range m.disk.Entries {
			held = held || e.Seq == seq && string(e.Operation) == w.acked[seq]
		}
		if held {
			n++
		}
	}
	return n
}
