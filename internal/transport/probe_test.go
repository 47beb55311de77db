package transport

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"nettlefold/example/toy"
	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
)

// TestProbe asks searchers that answer, that say nothing, and that are not there. The mute one has got the probe, so its
// connection is up for sure, when the asker is told to leave off. How long is waited is TestProbeInTime's.
func TestProbe(t *testing.T) {
	lim := charter.Limits{ConnectTimeout: time.Minute, MaxFrameBytes: 999}
	far := &toy.Searcher{}
	w := play(t, far)
	if up, answered := Probe(t.Context(), w.far.Address, time.Minute, lim); !up || !answered {
		t.Errorf("a sound searcher: up %v, answered %v", up, answered)
	}
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	ctx, leave := context.WithCancel(t.Context())
	got := make(chan error, 1)
	go func() {
		nc, err := mute.Accept()
		if err == nil {
			defer nc.Close()
			_, err = protocol.ReadFrame(nc, 999)
		}
		got <- err
		if leave(); err == nil {
			nc.Read(make([]byte, 1)) // until the asker has closed it
		}
	}()
	if up, answered := Probe(ctx, mute.Addr().String(), time.Hour, lim); !up || answered {
		t.Errorf("a mute one: up %v, answered %v", up, answered)
	}
	if err := <-got; err != nil {
		t.Errorf("a mute one: no probe has come: %v", err)
	}
	mute.Close()
	if up, answered := Probe(t.Context(), mute.Addr().String(), time.Minute, lim); up || answered {
		t.Errorf("none: up %v, answered %v", up, answered)
	}
}

// unhurried is a connection on which no deadline is noticed, as on a machine too busy to.
type unhurried struct{ net.Conn }

func (unhurried) SetDeadline(time.Time) error { return nil }

// TestProbeInTime has searchers answer within the time, just in time, at its end and later, or not at all: on the bubble's clock a
// probe ends at the answer or just when its time is up, and an answer that is read later does not count.
func TestProbeInTime(t *testing.T) {
	const within = time.Second
	for name, c := range map[string]struct {
		after     time.Duration // negative: never
		says      string
		unnoticed bool // deadlines are
		answered  bool
		took      time.Duration
	}{
		"at once":                 {0, "ok", false, true, 0},
		"an error":                {time.Millisecond, "err", false, true, time.Millisecond},
		"just in time":            {within - 1, "ok", false, true, within - 1},
		"too late":                {within + 1, "ok", false, false, within},
		"never":                   {-1, "", false, false, within},
		"empty":                   {0, "", false, false, 0},
		"just in time, unnoticed": {within - 1, "ok", true, true, within - 1},
		"when it is up":           {within, "ok", true, false, within},
		"late, unnoticed":         {within + 1, "ok", true, false, within + 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				var all sync.WaitGroup
				defer all.Wait()
				defer near.Close()
				began := time.Now()
				all.Go(func() {
					f, err := protocol.ReadFrame(far, 999)
					if err != nil || f.Type != protocol.ProbeFrame || len(f.Payload) > 0 {
						t.Errorf("asked %+v, %v", f, err)
					}
					if c.after < 0 {
						return
					}
					time.Sleep(c.after)
					far.Write(protocol.AppendFrame(nil, protocol.ProbeFrame, []byte(c.says)))
				})
				nc := net.Conn(near)
				if c.unnoticed {
					nc = unhurried{near}
				}
				if answered, took := probed(nc, within, 999), time.Since(began); answered != c.answered || took != c.took {
					t.Errorf("answered %v after %v, want %v after %v", answered, took, c.answered, c.took)
				}
			})
		})
	}
}
