package several

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"nettlefold/example/toy"
)

// Front hands a site's clients out among the mixers: those of its own site that are well, or where there are none those
// of the others. Clients come at a rate, whatever becomes of those before.
type Front struct {
	Name, Site string

	w      *World
	index  int
	mixers map[string]string // addresses by which it reaches them

	mu   sync.Mutex
	well map[string]bool
	idle map[string][]*link
	open int
	n    int
	rate float64 // lookups a second
	rng  *rand.Rand
}

// link is one client connection.
type link struct {
	net.Conn
	in    *bufio.Reader
	begun time.Time
	used  bool // has served a lookup
}

// mostOpen is how many lookups of a front may be open; a client beyond these does not come.
const mostOpen = 256

// run has clients come and looks after the mixers' health until the world ends.
func (f *Front) run(wg *sync.WaitGroup) {
	for name := range f.mixers {
		wg.Go(func() {
			for f.w.pause(100 * time.Millisecond) {
				ok := f.healthy(name)
				f.mu.Lock()
				f.well[name] = ok
				f.mu.Unlock()
			}
		})
	}
	wg.Go(func() {
		next := time.Now()
		for {
			f.mu.Lock()
			rate := f.rate
			f.mu.Unlock()
			if rate <= 0 {
				rate, next = 0, time.Now()
				if !f.w.pause(10 * time.Millisecond) {
					return
				}
				continue
			}
			next = next.Add(time.Duration(float64(time.Second) / rate))
			if behind := time.Since(next); behind > time.Second {
				next = next.Add(behind) // the machine was away; a crowd at once is no part of the plan
			}
			if !f.w.pause(time.Until(next)) {
				return
			}
			f.mu.Lock()
			comes := f.rate > 0 && f.open < mostOpen
			if comes {
				f.open++
			}
			f.mu.Unlock()
			if comes {
				wg.Go(f.client)
			}
		}
	})
}

// Rate sets how many lookups a second come.
func (f *Front) Rate(perSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = perSecond
}

// healthy asks a mixer how it is, on a connection of its own.
func (f *Front) healthy(name string) bool {
	c, err := f.dial(name, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /_health HTTP/1.1\r\nHost: mixers\r\nConnection: close\r\n\r\n")
	r, err := http.ReadResponse(c.in, nil)
	return err == nil && r.StatusCode == http.StatusOK
}

func (f *Front) dial(name string, within time.Duration) (*link, error) {
	d := net.Dialer{Timeout: within, LocalAddr: &net.TCPAddr{IP: net.ParseIP(f.w.host(f.index))}}
	c, err := d.Dial("tcp", f.mixers[name])
	if err != nil {
		return nil, err
	}
	return &link{Conn: c, in: bufio.NewReader(c), begun: time.Now()}, nil
}

// choose gives the mixer for the next client, "" if none is well.
func (f *Front) choose(but string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var own, others []string
	for _, m := range f.w.Mixers {
		if !f.well[m.Name] || m.Name == but {
			continue
		}
		if others = append(others, m.Name); m.Site == f.Site {
			own = append(own, m.Name)
		}
	}
	if len(own) == 0 {
		own = others
	}
	if len(own) == 0 {
		return ""
	}
	return own[f.rng.Intn(len(own))]
}

// client is one client: it asks one lookup and waits for its answer.
func (f *Front) client() {
	defer func() {
		f.mu.Lock()
		f.open--
		f.mu.Unlock()
	}()
	f.mu.Lock()
	f.n++
	id := fmt.Sprintf("%s-%d", f.Site, f.n)
	l := &asked{tariff: tariffs[f.rng.Intn(len(tariffs))], text: "text of " + id}
	l.slices = append(l.slices, f.rng.Perm(slabs)[:parts]...)
	f.mu.Unlock()
	name := f.choose("")
	if name == "" {
		return // nobody to ask, so nothing is asked
	}
	f.w.Book.asks(id, l)
	began := time.Now()
	err, tried := f.ask(name, id, l, false), ""
	if again := (*unread)(nil); errors.As(err, &again) && !f.w.Book.reached(id, name) {
		tried = fmt.Sprintf(", after %s: %v", name, err)
		first, asked := name, began
		if other := f.choose(name); other != "" {
			name = other
		}
		began = time.Now()
		err = f.ask(name, id, l, true)
		if first != name && f.w.Book.reached(id, first) && !f.w.net.troubled(f.Name, first, asked, began) {
			f.w.Book.Break("a lookup has one final answer", "%s was put to searchers by %s, which then ended its connection", id, first)
		}
	}
	if err == nil {
		return
	}
	f.w.Book.ended(func(c *Counts) { c.Excused++ })
	reached := f.w.Book.reached(id, name)
	untaken := (*unread)(nil)
	_, put := f.w.mixer(name).since()
	switch {
	case f.w.net.troubled(f.Name, name, began, time.Now()):
	case !reached && errors.As(err, &untaken) && untaken.refused:
	case !reached && !put.IsZero() && began.After(put.Add(arrivals)):
	default:
		f.w.Book.Break("a lookup has one final answer", "%s at %s, put to searchers %v: %v%s", id, name, reached, err, tried)
	}
}

// arrivals is how long after SIGTERM new connections still come and have to be served.
const arrivals = 400 * time.Millisecond

// unread is the end of a connection on which a request may not have been read: it may be asked once more. Refused: the
// mixer's machine did not take the connection.
type unread struct {
	why     error
	refused bool
}

func (u *unread) Error() string {
	return fmt.Sprintf("the connection ended before an answer began: %v", u.why)
}

// ask asks one mixer, on a connection at hand or a fresh one. Its error says why there was no answer; what is wrong with one is
// noted.
func (f *Front) ask(name, id string, l *asked, fresh bool) error {
	f.mu.Lock()
	var c *link
	if all := f.idle[name]; len(all) > 0 && !fresh {
		c, f.idle[name] = all[len(all)-1], all[:len(all)-1]
	}
	f.mu.Unlock()
	if c == nil {
		var err error
		if c, err = f.dial(name, 2*time.Second); err != nil {
			return &unread{err, true}
		}
	}
	shares := make([]string, len(l.slices))
	for i, slice := range l.slices {
		shares[i] = fmt.Sprintf(`{"shard":%d,"weight":%v}`, slice, 1/float64(len(l.slices)))
	}
	body := fmt.Sprintf(`{"shards":[%s],"q":%q}`, strings.Join(shares, ","), l.text)
	c.SetDeadline(time.Now().Add(f.w.Patience + f.w.Slack))
	_, err := fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: mixers\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, l.tariff, f.w.Patience.Milliseconds(), len(body), body)
	if err == nil {
		_, err = c.in.Peek(1)
	}
	if err != nil {
		c.Close()
		f.w.net.mu.Lock()
		refused := f.w.net.refused[c.LocalAddr().String()]
		f.w.net.mu.Unlock()
		// A mixer ends a connection whose first request is not there within 2 s; on a starved machine the relay may be late by that.
		refused = refused || !c.used && time.Since(c.begun) > 1500*time.Millisecond
		if (c.used || refused) && !errors.Is(err, os.ErrDeadlineExceeded) {
			return &unread{err, refused}
		}
		return fmt.Errorf("no answer: %w", err)
	}
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.Close()
		return fmt.Errorf("an answer that cannot be read: %w", err)
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		c.Close()
		return fmt.Errorf("an answer that ends half-way: %w", err)
	}
	f.answered(name, id, l, r.StatusCode, raw)
	if c.in.Buffered() > 0 {
		f.w.Book.Break("a lookup has one final answer", "%s at %s: more came after its answer", id, name)
		r.Close = true
	}
	if c.used = true; r.Close {
		c.Close()
		return nil
	}
	f.mu.Lock()
	f.idle[name] = append(f.idle[name], c)
	f.mu.Unlock()
	return nil
}

// answered notes an answer, and what it has that no searcher found or that its tariff does not allow.
func (f *Front) answered(name, id string, l *asked, status int, raw []byte) {
	b := f.w.Book
	l.status = status
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		b.ended(func(c *Counts) { c.Refused++ })
		return
	case status != http.StatusOK:
		b.ended(func(c *Counts) { c.Failed++ })
		if status != http.StatusBadGateway {
			b.Break("a sound lookup is not told that it is bad", "%s at %s: %d %s", id, name, status, raw)
		}
		return
	}
	var a struct {
		Complete bool
		Hits     []struct {
			Shard int
			Doc   string
		}
	}
	if err := json.Unmarshal(raw, &a); err != nil {
		b.Break("an answer is what searchers found", "%s at %s: %v", id, name, err)
	}
	seen := map[int]bool{}
	for _, h := range a.Hits {
		if h.Doc != (toy.Part{Text: l.text, Slice: h.Shard}).Value() || seen[h.Shard] {
			b.Break("an answer is what searchers found", "%s at %s: slice %d has %q", id, name, h.Shard, h.Doc)
		}
		seen[h.Shard] = true
	}
	has, need := float64(len(seen))/float64(len(l.slices)), 1.0
	if l.has = len(seen); l.tariff == anyHalf {
		if need = l.half; need == 0 {
			need = f.w.given.least()
		}
	}
	if has < need-1e-4 {
		b.Break("an answer has what its tariff needs", "%s at %s: %d of %d parts, complete %v", id, name,
			len(seen), len(l.slices), a.Complete)
	}
	b.ended(func(c *Counts) {
		if len(seen) == len(l.slices) {
			c.Whole++
			b.served[f.Site]++
		} else {
			c.Part++
		}
	})
}

// finish ends the connections, and looks whether anything came on them that nobody asked.
func (f *Front) finish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, all := range f.idle {
		for _, c := range all {
			c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := c.in.Peek(1); err == nil {
				f.w.Book.Break("a lookup has one final answer", "from %s: more came after an answer", name)
			}
			c.Close()
		}
	}
}
