package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// watch looks at the relays' sessions each quarter of a second.
type watch struct {
	stop context.CancelFunc
	done chan struct{}

	mu   sync.Mutex
	most []int // sessions of each relay, since the scene began
	now  []int
	over []string // where a relay had more than its share, the first five
}

func newWatch(r *Rig) *watch {
	ctx, stop := context.WithCancel(context.Background())
	w := &watch{stop: stop, done: make(chan struct{}), most: make([]int, r.Relays), now: make([]int, r.Relays)}
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

func (w *watch) see(name string, k int, st status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now[k], w.most[k] = st.Sessions, max(w.most[k], st.Sessions)
	if st.Sessions > st.Share && len(w.over) < 5 {
		w.over = append(w.over, fmt.Sprintf("%s: %d of %d", name, st.Sessions, st.Share))
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

func (w *watch) close() {
	w.stop()
	<-w.done
}

// status asks a relay how it stands.
func (r *Rig) status(k int) (s status, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.relays[k].admin+"/control/status", nil)
	if err != nil {
		return s, err
	}
	a, err := r.client.Do(q)
	if err != nil {
		return s, err
	}
	defer a.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(a.Body, 16<<20))
	if err == nil && a.StatusCode != http.StatusOK {
		err = fmt.Errorf("status of %s: %d %s", r.relays[k].Name, a.StatusCode, raw)
	}
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(raw, &s)
}
