package tally

import "time"

// atCapacity reports whether no more adds of any machine fit.
func (r *Replica) atCapacity() bool { return r.set.Len() >= r.options.MaxAdds }

// diskUnavailable reports whether a write has failed or exceeds WriteTimeout.
func (r *Replica) diskUnavailable(now time.Duration) bool {
	return r.diskFailed || r.inFlight != nil && now-r.writeStarted > r.options.Timing.WriteTimeout
}

// startWrite starts writing a batch of all queued and staged adds, if no write is in flight.
func (r *Replica) startWrite(now time.Duration, out *Output) {
	saveComplete := r.complete && !r.completeSaved
	if r.inFlight != nil || r.diskFailed || len(r.queue)+len(r.staged) == 0 && !saveComplete {
		return
	}
	batch := &Batch{Runs: r.staged, Complete: saveComplete}
	r.staged = nil
	if len(r.queue) > 0 {
		batch.Runs = append(batch.Runs, r.assignSequences(batch))
	}
	r.inFlight, r.writeStarted = batch, now
	out.Write = batch
}

// assignSequences assigns sequence numbers to the queued adds and returns them as a run.
func (r *Replica) assignSequences(batch *Batch) Run {
	if r.originUnsaved {
		batch.NewOrigin, r.originUnsaved = r.origin, false
	}
	run := Run{Origin: r.origin, First: r.set.LastSequence(r.origin) + 1}
	for _, q := range r.queue {
		run.Adds = append(run.Adds, q.add)
		dot := Dot{r.origin, run.last()}
		r.inFlightDots[q.add.ID] = dot
		r.waiters[dot] = append(r.waiters[dot], q.waiters...)
	}
	r.reservedSequences[r.origin] = run.last()
	r.queue = nil
	return run
}

// WriteSucceeded reports that the batch of Output.Write is durable.
func (r *Replica) WriteSucceeded(now time.Duration) Output {
	out := Output{}
	r.advance(now)
	batch := r.inFlight
	r.inFlight, r.inFlightDots = nil, map[string]Dot{}
	r.completeSaved = r.completeSaved || batch.Complete
	if now-r.writeStarted > r.options.Timing.SlowWrite {
		r.slowUntil = now + r.options.Timing.SlowDiskBackoff
	}
	for i := range batch.Runs {
		run := &batch.Runs[i]
		r.set.Insert(run)
		if !r.ownOrigins[run.Origin] {
			r.counters.Merged += uint64(len(run.Adds))
		}
	}
	r.sendToAll(now, &out)
	r.acknowledgeAll(now, &out)
	r.acknowledgeReplicated(now, &out)
	r.startWrite(now, &out)
	return out
}

// WriteFailed reports that the batch of Output.Write may or may not be on disk. Nothing is written until
// DiskRecovered.
func (r *Replica) WriteFailed(now time.Duration) Output {
	out := Output{}
	r.advance(now)
	for _, dot := range r.inFlightDots {
		r.replyToWaiters(&out, dot, Unclear, "the disk failed")
	}
	r.refuseQueue(&out, "the disk failed")
	r.inFlight, r.inFlightDots, r.staged, r.diskFailed = nil, map[string]Dot{}, nil, true
	r.reservedSequences = VersionVector{}
	return out
}

// DiskRecovered reports that the disk works again and has exactly what was synced before. The sequence
// numbers of the failed batch aren't reused, because a new origin is started.
func (r *Replica) DiskRecovered(now time.Duration) Output {
	r.advance(now)
	r.diskFailed = false
	r.startNewOrigin()
	return Output{}
}

// SetDiskFull sets whether the disk has no room left for callers' adds.
func (r *Replica) SetDiskFull(full bool) { r.diskFull = full }
