package several

import (
	"errors"
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"
)

// TestVersionsHoldThroughFailures plays nine processes in three regions, three of them control relays, through versions of the
// settings and faults between them.
func TestVersionsHoldThroughFailures(t *testing.T) {
	t.Parallel()
	for name, plan := range map[string][]Step{"versions": append(Versions(), slowReaders()...), "cuts": Cuts(), "losses": Losses()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if v := play(t, Setup{Mixers: 2, Relays: 1}, plan); len(v.Rules) > 0 {
				t.Errorf("%d rules are broken", len(v.Rules))
			}
		})
	}
}

// slowReaders are steps in which sessions that take a byte a second stand beside those of mixers, who hear of versions that do
// not fit into what the system holds for such a reader: the relay cannot write to it, and drops it in the end.
func slowReaders() []Step {
	const digits = 15_000 // so that each document is nearly as long as one may be
	wide := func(half float64) Document {
		return Document{strings.ReplaceAll(Half(half).Body, ",1]", ",1."+strings.Repeat("0", digits)+"]"), half}
	}
	steps := []Step{step(func(w *World) error {
		r, err := w.relay("a-r0")
		for i := range 8 {
			if err == nil {
				err = crawl(w, r, fmt.Sprintf("a-slow%d", i))
			}
		}
		return err
	}, "readers of a byte a second follow a-r0")}
	half := 0.3
	for i := range 6 {
		name := fmt.Sprintf("wide %d", i)
		steps = append(steps, Give("a-r0", name, wide(half)), InForce("*", name))
		half = 0.8 - half
	}
	return append(steps, Holds("a-r0 has dropped a reader that takes nothing", func(w *World) error {
		r, err := w.relay("a-r0")
		if err != nil {
			return err
		}
		raw, err := r.Ask("/metrics")
		if err == nil && !regexp.MustCompile(`(?m)^nettlefold_relay_slow_sessions_total [1-9]`).Match(raw) {
			err = errors.New("none")
		}
		return err
	}), Under("*", "wide 5"), Served("*", 5), Agree())
}

// crawl begins a session that takes a byte a second.
func crawl(w *World, r *Relay, name string) error {
	nc, err := net.Dial("tcp", w.address(r.index, portServe))
	if err != nil {
		return err
	}
	nc.(*net.TCPConn).SetReadBuffer(1)
	ask := "GET /control/rows?follow=1&since=0&life=&name=" + name + "&as=mixer HTTP/1.1\r\nHost: relay\r\n\r\n"
	if _, err := nc.Write([]byte(ask)); err != nil {
		return err
	}
	one := make([]byte, 1)
	if _, err := nc.Read(one); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	w.wg.Go(func() {
		defer nc.Close()
		for w.pause(time.Second) {
			nc.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := nc.Read(one); err != nil && !isTimeout(err) {
				return // it was dropped, as one is that takes nothing
			}
		}
	})
	return nil
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
