package chain

import (
	"fmt"
	"maps"
)

// Check holds the world to what must never break.
func (w *searchWorld) Check() error {
	views := map[uint64]string{}
	committed := maps.Clone(w.acked)
	for _, id := range w.ids {
		r := w.machines[id].replica
		text := viewText(&r.meta.View)
		if other, known := views[r.meta.View.Epoch]; known && other != text {
			return fmt.Errorf("epoch %d has two views", r.meta.View.Epoch)
		}
		views[r.meta.View.Epoch] = text
		for _, e := range r.log {
			if e.Seq > r.state.Seq {
				break
			}
			if other, known := committed[e.Seq]; known && other != string(e.Operation) {
				return fmt.Errorf("number %d is committed with two operations", e.Seq)
			}
			committed[e.Seq] = string(e.Operation)
		}
		for seq, epoch := range w.ackEpoch {
			if r.meta.View.Epoch > epoch && r.meta.View.LogLength < seq {
				return fmt.Errorf("view %d begins without number %d, which was acknowledged", r.meta.View.Epoch, seq)
			}
		}
		if r.serving() && r.lastSeq() < r.meta.View.LogLength {
			return fmt.Errorf("%s serves in view %d without its log", id, r.meta.View.Epoch)
		}
	}
	for seq, epoch := range w.ackEpoch {
		if n := w.disks(seq); n < 2-w.wipedDisks {
			return fmt.Errorf("number %d was acknowledged in view %d and is on %d disks", seq, epoch, n)
		}
	}
	return nil
}

// disks counts the disks that hold an operation.
func (w *searchWorld) disks(seq uint64) (n int) {
	for _, m := range w.machines {
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
