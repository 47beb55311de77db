package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"nettlefold/internal/fleet/control"
	"nettlefold/internal/fleet/desk"
	"nettlefold/internal/fleet/words"
)

const tableWords = "words" // under which a mixer's sheet is framed

// bench is a relay's judge of its own mixers' sheets. Its lock and the server's are never held together.
type bench struct {
	mu    sync.Mutex
	judge *words.Judge
	took  time.Duration // the last round
}

// here tells whether a mixer has a session.
func (s *Server) here(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.live[name]) > 0
}

// heard takes a mixer's sheet.
func (s *Server) heard(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("name")
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, words.MostSheet+mostFrame))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if raw, err = desk.Heard(tableWords, raw); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.here(name) {
		http.Error(w, control.ErrUnknown.Error(), http.StatusNotFound)
		return
	}
	s.bench.mu.Lock()
	err = s.bench.judge.Heard(s.now(), name, raw)
	s.bench.mu.Unlock()
	if !s.here(name) { // it has ended meanwhile, which the judge may have been told before
		s.mu.Lock()
		s.ended[name] = true
		s.mu.Unlock()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// judges has the relay tell what its mixers together say, in rounds.
func (s *Server) judges(ctx context.Context) { every(ctx, s.judge) }

func (s *Server) judge() {
	s.mu.Lock()
	var left []string
	for name := range s.ended {
		if len(s.live[name]) == 0 {
			left = append(left, name)
		}
	}
	clear(s.ended)
	s.mu.Unlock()
	s.bench.mu.Lock()
	began := time.Now()
	for _, name := range left {
		s.bench.judge.Left(s.now(), name)
	}
	rows := s.bench.judge.Round(s.now())
	s.bench.took = time.Since(began)
	s.bench.mu.Unlock()
	s.mu.Lock()
	s.relay.Words(s.now(), rows)
	s.notify()
	s.mu.Unlock()
}

// WordsStatus is how a relay's judging stands.
type WordsStatus struct {
	words.Counts
	TookUs int64 // the last round
}

// Words gives how the judging stands, false where the relay does none.
func (s *Server) Words() (WordsStatus, bool) {
	if s.bench == nil {
		return WordsStatus{}, false
	}
	s.bench.mu.Lock()
	defer s.bench.mu.Unlock()
	return WordsStatus{s.bench.judge.Counts(), s.bench.took.Microseconds()}, true
}

// standing is what the admin listener answers.
func (s *Server) standing() any {
	all := struct {
		control.Status
		Words *WordsStatus `json:"words,omitempty"`
	}{Status: s.Status()}
	if w, ok := s.Words(); ok {
		all.Words = &w
	}
	return all
}

// Words is who hears, at a mixer, what relays say of searchers. It is called by Client.Run alone, without a lock.
type Words interface {
	Session(open bool)                      // a session has begun, or begins anew to tell all; or there is none
	Heard(rows []control.Row, settled bool) // as words.Ear takes them
}

func (c *Client) wordsOf(open bool) {
	if c.Words != nil {
		c.Words.Session(open)
	}
}

// hear hands on a piece's rows; held are those that the table had before a session that goes on from there.
func (c *Client) hear(p control.Piece, held, news []control.Row) {
	if c.Words == nil {
		return
	}
	if p.Snapshot {
		c.Words.Session(true)
		c.whole = false
	} else if c.fresh {
		c.Words.Heard(held, false)
		c.whole = true
	}
	c.fresh = false
	c.Words.Heard(news, c.whole)
	c.whole = c.whole || !p.More
}

var errAlone = errors.New("no session")

// Post tells the relay in hand a sheet, once.
func (c *Client) Post(ctx context.Context, t *teller, sheet []byte) error {
	c.lock.Lock()
	seat, _ := c.follower.Following()
	c.lock.Unlock()
	if seat == nil {
		return errAlone
	}
	return t.put(ctx, seat.Address, pathWords+"?"+url.Values{"name": {c.Self.Name}}.Encode(), "", desk.Said(tableWords, sheet))
}
