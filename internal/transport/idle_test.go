package transport

import (
	"io"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/mixer"
)

// TestIdleIsClosedBeforeItsSearcherWould has connections of which one was last used at once, one later, one whose part is out all
// the time, and one that is not up yet. On the bubble's clock, each idle one is closed an eighth of the searcher's keep-alive
// before the searcher would close it, or by a sweep more, and never sooner.
func TestIdleIsClosedBeforeItsSearcherWould(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const keep = 800 * time.Millisecond
		lim := charter.Limits{KeepAliveTimeout: keep, WriteTimeout: time.Minute, MaxStreamsPerConn: 9, FileDescriptors: 99}
		s, began := NewSearchers(lim, quiet), time.Now()
		defer s.Close()
		to := &searcher{name: "s"}
		var ended [4]time.Duration // 0: is not
		for i := range ended {
			l := &conn{to: to, began: began, used: began, cancel: func() {}, out: map[string]*Parcel{}}
			if i < 3 {
				near, far := net.Pipe()
				l.nc = near
				go func() {
					io.Copy(io.Discard, far)
					ended[i] = time.Since(began)
				}()
			}
			if i == 2 {
				p, _ := parcel(t, router(t, mixer.Idempotent, "s"), "a")
				p.conn, p.state, l.out[p.Part.ID] = l, written, p
			}
			to.conns = append(to.conns, l)
		}
		s.mu.Lock()
		s.all["s"], s.conns = to, len(to.conns)
		all := slices.Clone(to.conns)
		for _, l := range all {
			s.pool.Open(since(began), &l.kept, l, s.peer(to))
			s.judge(l)
		}
		s.mu.Unlock()
		time.Sleep(keep / 2)
		s.mu.Lock()
		all[1].used = time.Now()
		s.judge(all[1])
		s.mu.Unlock()
		time.Sleep(3 * keep)
		synctest.Wait()
		for i, used := range []time.Duration{0, keep / 2} {
			if after := ended[i] - used; after < keep*7/8 || after > keep*7/8+keep/32 {
				t.Errorf("connection %d was closed %v after its last use, want %v and at most %v more", i, after, keep*7/8, keep/32)
			}
		}
		if ended[2] != 0 || ended[3] != 0 {
			t.Errorf("closed with a part out: after %v, not yet up: after %v", ended[2], ended[3])
		}
	})
}
