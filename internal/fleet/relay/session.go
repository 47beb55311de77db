package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"nettlefold/internal/fleet/control"
	"nettlefold/internal/fleet/desk"
)

// rowsPath is what a follower asks for.
func rowsPath(name, as, life string, since uint64) string {
	return pathRows + "?" + url.Values{"follow": {"1"}, "since": {strconv.FormatUint(since, 10)}, "life": {life},
		"name": {name}, "as": {as}}.Encode()
}

// sessions are the answers on the listener for followers.
func (s *Server) sessions() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathRows, s.rows)
	mux.HandleFunc("POST "+pathSelf, s.self)
	return mux
}

// rows answers a session for as long as it lasts.
func (s *Server) rows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil && q.Get("since") != "" {
		http.Error(w, fmt.Sprintf("since: %.40q", q.Get("since")), http.StatusBadRequest)
		return
	}
	name, as := q.Get("name"), q.Get("as")
	if q.Get("follow") != "1" || len(name) > mostName || as != asMixer && as != asRelay {
		http.Error(w, fmt.Sprintf("want follow=1, a name of up to %d bytes and as=mixer or relay", mostName), http.StatusBadRequest)
		return
	}
	ctx, end := context.WithCancel(r.Context())
	defer end()
	s.mu.Lock()
	ses, err := s.relay.Join(s.now(), name, as == asMixer, since, q.Get("life"))
	if err != nil {
		s.mu.Unlock()
		if !busy(w, err) {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
		return
	}
	number, l := s.enter(name, end)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.left(name, number)
		s.relay.Leave(s.now(), ses, l.bye)
		s.notify()
	}()
	if as == asMixer {
		room(ctx, mixerRoom)
	} else {
		room(ctx, relayRoom)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerLife, s.life)
	w.Header().Set(headerSession, strconv.FormatUint(number, 10))
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{}) // it has asked all it wants
	if err := s.tell(ctx, w, rc, ses); errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT) {
		s.slow.Add(1)
		s.log.Info("relay: a follower takes nothing", "name", name, "as", as)
	}
}

// enter notes a session by its name, and left forgets it. Both are called under the lock.
func (s *Server) enter(name string, end context.CancelFunc) (uint64, *live) {
	s.number++
	l := &live{end: end}
	if s.live[name] == nil {
		s.live[name] = map[uint64]*live{}
	}
	s.live[name][s.number] = l
	return s.number, l
}

func (s *Server) left(name string, number uint64) {
	if delete(s.live[name], number); len(s.live[name]) == 0 {
		delete(s.live, name)
	}
}

// tell tells a session all that concerns it, and beats, until it ends. There is no queue: what is to be told is read from the table
// when the last piece has been taken.
func (s *Server) tell(ctx context.Context, w io.Writer, rc *http.ResponseController, ses *control.Session) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	said := time.Now()
	write := func(line []byte) error {
		rc.SetWriteDeadline(time.Now().Add(s.o.Write))
		n, err := w.Write(line)
		if s.told.Add(uint64(n)); err == nil {
			err = rc.Flush()
		}
		said = time.Now()
		return err
	}
	for {
		s.mu.Lock()
		piece, ok, wait := ses.Next(s.now(), s.relay.Table())
		changed := s.changed
		s.mu.Unlock()
		if ok {
			line, err := json.Marshal(piece)
			if err == nil {
				err = write(append(line, '\n'))
			}
			if err != nil {
				return err
			}
			continue
		}
		beat := time.Until(said.Add(beatAfter))
		if beat <= 0 {
			if err := write([]byte("\n")); err != nil {
				return err
			}
			continue
		}
		if wait > 0 {
			beat, changed = min(beat, time.Duration(wait)), nil // a change cannot be told before that
		}
		timer.Reset(beat)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.over:
			return nil
		case <-timer.C:
		case <-changed:
		}
	}
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 32, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// self takes what a mixer tells of itself.
func (s *Server) self(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostSelf))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var self control.Self
	if raw, err = desk.Heard(tableSelf, raw); err == nil {
		err = decoder.Unmarshal(raw, &self)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if r.Header.Get(headerBye) == "1" {
		s.bye(self.Name, r.Header.Get(headerSession))
	} else {
		err = s.relay.Said(s.now(), self)
	}
	s.mu.Unlock()
	switch {
	case errors.Is(err, control.ErrUnknown):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// bye ends a session for good, all of a name where none is named. A newer process of the name keeps its own. It is called under
// the lock.
func (s *Server) bye(name, session string) {
	for number, l := range s.live[name] {
		if session == "" || session == strconv.FormatUint(number, 10) {
			l.bye = true
			l.end()
		}
	}
}
