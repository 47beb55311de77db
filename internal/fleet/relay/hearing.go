package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"nettlefold/internal/fleet/control"
	"nettlefold/internal/fleet/words"
	"nettlefold/internal/routing"
)

// Router is the module's side as Hearing needs it.
type Router interface {
	Tell(within int64) (now int64, all []routing.Own)
	Told(words []routing.Word)
	Now() int64
}

// Hearing tells a mixer's sheets to its relay, and hands its module what relays say of searchers. It costs two goroutines and, while
// sheets are told, a connection.
type Hearing struct {
	router Router
	client *Client
	log    *slog.Logger
	dial   dialer

	mu     sync.Mutex
	ear    *words.Ear
	sheets *words.Sheets
	open   bool
	handed map[[2]any]routing.Word // what the module was handed and may still believe
	fails  int                     // sheets in a row that were not taken
	again  int64                   // no sheet before
	counts HearingState
}

// HearingState is how a mixer's hearing stands.
type HearingState struct {
	Words  int    `json:"words"`  // handed to the module
	Beyond int    `json:"beyond"` // searchers that stand out at relays and of which nothing is told
	Sheets uint64 `json:"sheets"` // told
	Failed uint64 `json:"failed"` // sheets that no relay took
}

// NewHearing makes that of a mixer's client, whose Words it becomes.
func NewHearing(router Router, c *Client) *Hearing {
	h := &Hearing{router: router, client: c, log: c.Log, ear: words.NewEar(), handed: map[[2]any]routing.Word{},
		sheets: words.NewSheets(router.Now(), c.Self.Name, c.Self.Zone, drawn())}
	if h.log == nil {
		h.log = slog.New(slog.DiscardHandler)
	}
	if h.dial = c.Dial; h.dial == nil {
		h.dial = plain
	}
	c.Words = h
	return h
}

// Session is told by the client.
func (h *Hearing) Session(open bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open, h.fails, h.again = open, 0, 0
	h.ear.Lost()
	h.sheets.Opened()
}

// Heard is told by the client.
func (h *Hearing) Heard(rows []control.Row, settled bool) {
	now := h.router.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ear.Take(now, rows, settled)
}

// State gives how it stands.
func (h *Hearing) State() HearingState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts
}

// Run tells and hands over until the context ends. It is called while the client runs.
func (h *Hearing) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { h.tells(ctx) })
	every(ctx, func() { h.hand() })
}

// every calls in rounds until the context ends.
func every(ctx context.Context, do func()) {
	round := time.NewTicker(time.Duration(words.Round))
	defer round.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-round.C:
			do()
		}
	}
}

// hand gives the module what is to be believed now, and takes back what is not.
func (h *Hearing) hand() {
	now := h.router.Now()
	h.mu.Lock()
	all := h.ear.Words(now)
	h.counts.Words = len(all)
	_, h.counts.Beyond = h.ear.Standing(now)
	stands := make(map[[2]any]routing.Word, len(all))
	for _, w := range all {
		stands[[2]any{w.Searcher, w.Started}] = w
	}
	for p, w := range h.handed {
		if _, ok := stands[p]; !ok && w.Until > now {
			all = append(all, routing.Word{Searcher: w.Searcher, Started: w.Started})
		}
	}
	said := len(all) > 0 || len(h.handed) > 0
	h.handed = stands
	h.mu.Unlock()
	if said {
		h.router.Told(all)
	}
}

// tells tells sheets. It waits for the relay, and nobody waits for it.
func (h *Hearing) tells(ctx context.Context) {
	t := &teller{dial: h.dial, times: usual}
	defer t.close()
	every(ctx, func() {
		raw, err := h.sheet()
		if err == nil && raw != nil {
			err = h.client.Post(ctx, t, raw)
		}
		if ctx.Err() == nil && (raw != nil || err != nil) {
			h.told(err)
		}
	})
}

// told says how the telling of a sheet went. What was not taken is told again after a wait that grows: the relay may take no words.
func (h *Hearing) told(err error) {
	now := h.router.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.fails = 0
		h.counts.Sheets++
		return
	}
	h.counts.Failed++
	h.again = now + min(words.Every<<min(h.fails, 10), mostWait)
	h.fails++
	h.sheets.Opened()
	h.log.Debug("control: a sheet is not told", "error", err)
}

const mostWait = int64(time.Minute) // between two sheets that are not taken

// sheet makes the sheet to be told now, nil for none.
func (h *Hearing) sheet() ([]byte, error) {
	now := h.router.Now()
	h.mu.Lock()
	due := h.open && now >= h.again && h.sheets.Due(now)
	h.mu.Unlock()
	if !due {
		return nil, nil
	}
	now, own := h.router.Tell(0)
	h.mu.Lock()
	defer h.mu.Unlock()
	doubted, _ := h.ear.Standing(now)
	return h.sheets.Next(now, own, doubted)
}
