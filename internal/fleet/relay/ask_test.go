package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"nettlefold/internal/fleet/control"
)

// line is a connection of a relay to another. Where it is cut, nothing comes through, and neither end is told.
type line struct {
	net.Conn
	cut func() bool
}

func (l line) Read(b []byte) (int, error) {
	for {
		if n, err := l.Conn.Read(b); err != nil || !l.cut() {
			return n, err
		}
	}
}

func (l line) Write(b []byte) (int, error) {
	if l.cut() {
		return len(b), nil
	}
	return l.Conn.Write(b)
}

// apart starts relays whose lines to and from the first one can be cut.
func apart(t *testing.T, regions ...string) (*tier, *atomic.Bool) {
	t.Helper()
	w, cut := &tier{t: t}, &atomic.Bool{}
	t.Cleanup(w.end)
	var at []net.Listener
	for i, region := range regions {
		l := listen(t, "127.0.0.1:0")
		at = append(at, l)
		w.seats = append(w.seats, control.Seat{Name: fmt.Sprint("r-", i+1), Region: region, Address: l.Addr().String()})
	}
	for i := range regions {
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			is := func() bool { return cut.Load() && (i == 0 || address == w.seats[0].Address) }
			if is() {
				return nil, errors.New("cut")
			}
			nc, err := plain(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return line{nc, is}, nil
		}
		w.relays = append(w.relays, w.play(i, at[i], Options{Dial: dial}))
	}
	return w, cut
}

// TestNoNumberAfterACut has a relay whose lines have just been cut give nothing, though it still counts the others as in contact; the
// others give the number meanwhile, and the relay the one after it when its lines are good again.
func TestNoNumberAfterACut(t *testing.T) {
	t.Parallel()
	w, cut := apart(t, "east", "west", "west")
	w.met()
	if g := w.relays[0].given(t, `{"a":1}`); g.Number != 1 {
		t.Errorf("%+v", g)
	}
	until(t, "all hold it", func() bool { return w.relays[0].Status().Held == 3 })
	cut.Store(true)
	status, answer := w.relays[0].give(t, `{"a":"lost"}`)
	still := len(w.relays[0].Status().Contact) // it is not slower than this test
	if status != http.StatusServiceUnavailable || !strings.Contains(answer, "2 are needed") ||
		still > 0 && !strings.Contains(answer, "1 of the relays have answered since") {
		t.Errorf("in contact with %d: %d %s", still, status, answer)
	}
	var g Given
	until(t, "the majority gives one", func() bool {
		status, answer := w.relays[1].give(t, `{"a":2}`)
		return status == http.StatusOK && json.Unmarshal([]byte(answer), &g) == nil
	})
	if g.Number != 2 {
		t.Errorf("%+v", g)
	}
	until(t, "it hears nobody", func() bool { return len(w.relays[0].Status().Contact) == 0 })
	if status, answer := w.relays[0].give(t, `{"a":"lost"}`); status != http.StatusServiceUnavailable ||
		!strings.Contains(answer, "1 of the relays are in contact") {
		t.Errorf("%d %s", status, answer)
	}
	cut.Store(false)
	w.met()
	until(t, "it holds what was given", func() bool { return w.relays[0].Status().Version == g.Stamp })
	if g := w.relays[0].given(t, `{"a":3}`); g.Number != 3 {
		t.Errorf("%+v", g)
	}
}

// TestManyGiveAtOnce has many versions come to one relay together: each has a number of its own.
func TestManyGiveAtOnce(t *testing.T) {
	t.Parallel()
	w := newTier(t, Options{}, "east", "west", "west")
	w.met()
	const many = 20
	given := make(chan string, many)
	for i := range many {
		go func() {
			status, answer := w.relays[0].give(t, fmt.Sprintf(`{"i":%d}`, i))
			given <- fmt.Sprint(status, " ", answer)
		}()
	}
	numbers := map[uint64]bool{}
	for range many {
		answer, g := <-given, Given{}
		if text, ok := strings.CutPrefix(answer, "200 "); !ok || json.Unmarshal([]byte(text), &g) != nil || numbers[g.Number] {
			t.Error(answer)
		}
		numbers[g.Number] = true
	}
	if v := w.relays[0].Status().Version; v.Number != many {
		t.Errorf("%+v", v)
	}
}
