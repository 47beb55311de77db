package transport

import (
	"errors"
	"log/slog"
	"slices"

	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

// spoilt is the error of an answer that cannot be used. The searcher is there, its work may have been done.
type spoilt struct {
	error
	id string // of the part, "" if that cannot be told
}

func (e *spoilt) Unwrap() error { return e.error }

// claimed is a connection that is done with. Nothing can come upon it any more; its socket is still to be closed, and what
// became of its parts to be told.
type claimed struct {
	l                            *conn
	why                          error
	outcome                      routing.Outcome
	failed, withdrawn, unreached []*Parcel
}

// drop ends a connection, once, and tells the outcome of all that was out on it.
func (s *Searchers) drop(l *conn, why error) {
	s.mu.Lock()
	all := s.claim(why, l)
	s.mu.Unlock()
	s.finish(all)
}

// claim takes connections out of use, each once. The lock is held, by whoever chose them too: between the choice and this
// no call may be put on one that is to be closed. Its parts get their outcome by finish but for what is being written: a
// searcher may have it whole before the writer knows. Of a spoilt answer one part has failed, as far as can be told the
// one that was out longest; the others are withdrawn for it.
func (s *Searchers) claim(why error, conns ...*conn) (all []claimed) {
	for _, l := range conns {
		if l.closed {
			continue
		}
		l.closed = true
		l.cancel()
		s.conns--
		s.pool.Close(&l.kept, reason(why, l.nc != nil))
		l.to.conns = slices.DeleteFunc(l.to.conns, func(o *conn) bool { return o == l })
		if l.to.gone && len(l.to.conns) == 0 {
			s.mark(l.to)
		}
		e := claimed{l: l, why: why, outcome: mixer.ConnectionReset}
		for _, p := range l.out {
			switch p.state {
			case queued:
				e.unreached = append(e.unreached, p)
			case written:
				e.failed = append(e.failed, p)
			}
		}
		if bad := (*protocol.FrameError)(nil); errors.As(why, &bad) && len(e.failed) > 0 {
			e.outcome = mixer.Failed
			e.failed, e.withdrawn = blame(why, e.failed)
		}
		l.out, l.queue, l.raw = nil, nil, nil
		all = append(all, e)
	}
	return all
}

// finish closes what was claimed and tells what became of the parts.
func (s *Searchers) finish(all []claimed) {
	for _, e := range all {
		if e.l.nc != nil { // not set any more once it is closed
			e.l.nc.Close()
		}
		level := slog.LevelDebug
		if bad := (*protocol.FrameError)(nil); errors.As(e.why, &bad) {
			level = slog.LevelWarn
		}
		s.log.Log(s.ctx, level, "connection to a searcher ended", "searcher", e.l.to.name, "why", e.why,
			"failed", len(e.failed), "withdrawn", len(e.withdrawn), "unreached", len(e.unreached))
		report(e.failed, e.outcome)
		report(e.withdrawn, mixer.Cancelled)
		report(e.unreached, mixer.Unreachable)
	}
}

// blame parts the forward that a spoilt answer is for from the others.
func blame(why error, out []*Parcel) (failed, others []*Parcel) {
	worst, id := 0, ""
	if e := (*spoilt)(nil); errors.As(why, &e) {
		id = e.id
	}
	for i, p := range out {
		if p.Part.ID == id {
			worst = i
			break
		}
		over, worse := p.Forward.Over(), out[worst].Forward.Over() // nothing can be told of those any more
		if worse && !over || worse == over && p.Forward.Until.Before(out[worst].Forward.Until) {
			worst = i
		}
	}
	return out[worst : worst+1 : worst+1], append(out[:worst:worst], out[worst+1:]...)
}
