package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"nettlefold/internal/fleet/control"
	"nettlefold/internal/fleet/relay"
)

// watch looks at the relays' sessions each quarter of a second.
type watch struct {
	stop context.CancelFunc
	done chan struct{}

	mu    sync.Mutex
	most  []int    // sessions of each relay, since the scene began
	share []int    // of each relay, as things are
	over  []string // where a relay had more than its share, the first five
}

func newWatch(r *Rig) *watch {
	ctx, stop := context.WithCancel(context.Background())
	w := &watch{stop: stop, done: make(chan struct{}), most: make([]int, r.Relays), share: r.shares()}
	go func() {
		defer close(w.done)
		t := time.NewTicker(250 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			for _, k := range r.up() {
				st, err := r.status(k)
				if err != nil {
					continue // it starts, is halted or was just killed
				}
				w.see(r.relays[k].Name, k, st)
			}
		}
	}()
	return w
}

func (w *watch) see(name string, k int, st control.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.most[k] = max(w.most[k], st.Sessions)
	if most := w.share[k] + w.share[k]/20 + 3; st.Sessions > most && len(w.over) < 5 {
		w.over = append(w.over, fmt.Sprintf("%s: %d, its share is %d", name, st.Sessions, w.share[k]))
	}
}

// scene begins anew with the most, and gives that of the scene before.
func (w *watch) scene() (most []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	most = w.most
	w.most = make([]int, len(most))
	return most
}

// shares gives how many mixers' first relay each is, without some that are away. Sessions that overlap, as where a mixer opens
// one before it ends another, come on top: a twentieth and three are allowed for.
func (r *Rig) shares(away ...int) []int {
	var seats []control.Seat
	at := map[string]int{}
	for k, o := range r.relays {
		if at[o.Name] = k; !slices.Contains(away, k) {
			seats = append(seats, o.Seat)
		}
	}
	n := make([]int, len(r.relays))
	for i := range r.Mixers {
		region, _ := place(i)
		n[at[control.Order(mixerName(i), region, seats)[0].Name]]++
	}
	return n
}

// allow has the watch hold each relay to the greater of several shares.
func (w *watch) allow(of ...[]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share = slices.Clone(of[0])
	for _, one := range of[1:] {
		for k, n := range one {
			w.share[k] = max(w.share[k], n)
		}
	}
}

func (w *watch) close() {
	w.stop()
	<-w.done
}

// status asks a relay how it stands.
func (r *Rig) status(k int) (s control.Status, err error) {
	raw, err := r.admin(k, relay.PathStatus)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(raw, &s)
}

// told gives the bytes that a relay has told mixers and other relays since its start, 0 where it does not answer.
func (r *Rig) told(k int) (n float64) {
	raw, _ := r.admin(k, "/metrics")
	_, rest, _ := strings.Cut(string(raw), "nettlefold_relay_told_bytes_total ")
	line, _, _ := strings.Cut(rest, "\n")
	n, _ = strconv.ParseFloat(line, 64)
	return n
}

func (r *Rig) admin(k int, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.relays[k].admin+path, nil)
	if err != nil {
		return nil, err
	}
	a, err := r.client.Do(q)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(a.Body, 16<<20))
	if err == nil && a.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s of %s: %d %s", path, r.relays[k].Name, a.StatusCode, raw)
	}
	return raw, err
}
