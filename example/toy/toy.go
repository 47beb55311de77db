// Package toy has the two other parties of a mixer, as small as can be: searchers that answer every part, and a
// list that names them. The example runs them; the tests make them misbehave.
package toy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"nettlefold/internal/protocol"
)

// Part is one part as a searcher receives it.
type Part struct {
	ID     string
	Slice  int
	Within time.Duration // how long the mixer waits for it
	Text   string
	Conn   *Conn
}

// Conn is one connection as a searcher sees it.
type Conn struct {
	net.Conn
	mu sync.Mutex
}

// Frame writes one frame.
func (c *Conn) Frame(letter byte, rest string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Write(protocol.AppendFrame(nil, letter, []byte(rest)))
}

// Answer answers a part.
func (p Part) Answer(end, value string) {
	p.Conn.Frame(protocol.AnswerFrame, fmt.Sprintf("%s %s 1 -\n%s", p.ID, end, value))
}

// Value gives what a searcher finds for a part: always the same for the same text and slice.
func (p Part) Value() string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", p.Text, p.Slice)
	return strconv.FormatUint(h.Sum64(), 16)
}

// Searcher answers the parts that it is sent.
type Searcher struct {
	Name, Zone, Address string
	Cell                int
	Took                time.Duration       // for a part
	Handle              func(Part)          // in place of answering after Took
	Accepted            func(*Conn)         // when a connection has come up
	Withdrawn           func(*Conn, string) // when a part is given up, by its id
	Ended               func(*Conn)         // when a connection has ended

	mu       sync.Mutex
	listener net.Listener
	conns    map[*Conn]bool
	frames   []string // all that came, by letter and rest
}

// Start listens at the searcher's address, a free one of the loopback if none is set.
func (s *Searcher) Start() error {
	if s.Address == "" {
		s.Address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.Address, s.listener, s.conns = l.Addr().String(), l, map[*Conn]bool{}
	s.mu.Unlock()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			c := &Conn{Conn: nc}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			if s.Accepted != nil {
				s.Accepted(c)
			}
			go s.serve(c)
		}
	}()
	return nil
}

// Stop ends the searcher as a killed process does: its connections are reset, new ones refused.
func (s *Searcher) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for c := range s.conns {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Conns tells how many connections are open.
func (s *Searcher) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Frames gives all frames that have come, each as its letter and rest.
func (s *Searcher) Frames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.frames...)
}

func (s *Searcher) serve(c *Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		if s.Ended != nil {
			s.Ended(c)
		}
	}()
	for {
		f, err := protocol.ReadFrame(c, 1<<20)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.frames = append(s.frames, string(f.Type)+string(f.Payload))
		s.mu.Unlock()
		switch f.Type {
		case protocol.QueryFrame:
			parts, err := read(f.Payload)
			if err != nil {
				c.Frame(protocol.ErrorFrame, err.Error())
				return
			}
			for _, p := range parts {
				p.Conn = c
				if s.Handle != nil {
					s.Handle(p)
				} else {
					time.AfterFunc(s.Took, func() { p.Answer("ok", p.Value()) })
				}
			}
		case protocol.CancelFrame:
			if s.Withdrawn != nil {
				s.Withdrawn(c, string(f.Payload))
			}
		case protocol.ProbeFrame:
			if len(f.Payload) == 0 {
				c.Frame(protocol.ProbeFrame, "ok")
			}
		}
	}
}

// read takes a call apart.
func read(rest []byte) (parts []Part, err error) {
	for len(rest) > 0 {
		line, after, ok := bytes.Cut(rest, []byte{'\n'})
		words := strings.Fields(string(line))
		if !ok || len(words) != 4 {
			return nil, fmt.Errorf("line %q", line)
		}
		list, waits := strings.CutPrefix(words[2], "d=")
		within, err := strconv.ParseInt(list, 10, 32)
		slice, err1 := strconv.Atoi(words[1])
		length, err2 := strconv.Atoi(words[3])
		if !waits || err != nil || err1 != nil || err2 != nil || length < 0 || length > len(after) {
			return nil, fmt.Errorf("line %q", line)
		}
		parts = append(parts, Part{ID: words[0], Slice: slice, Within: time.Duration(within) * time.Millisecond,
			Text: string(after[:length])})
		rest = after[length:]
	}
	return parts, nil
}

// Member is one entry of the list.
type Member struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"group"`
	Status  string  `json:"status"`
	Since   float64 `json:"since_ms"`
}

// Message is one message of the list.
type Message struct {
	Index     int64    `json:"index"`
	Snapshot  bool     `json:"snapshot"`
	Endpoints []Member `json:"endpoints"`
}

// Entry gives the searcher's entry of the list.
func (s *Searcher) Entry(status string) Member {
	return Member{Name: s.Name, Address: s.Address, Zone: s.Zone, Cell: s.Cell, Status: status}
}

// List is a discovery that says what it is told to say.
type List struct {
	Beat time.Duration // between empty lines, 2 s if not set

	mu      sync.Mutex
	said    []line
	changed chan struct{}
}

// line is one line of a watch, of a version of the list or, without one, only for those who watch when it is said.
type line struct {
	index int64
	text  string
}

// Say puts out a message to all watches, also to later ones that lack it.
func (l *List) Say(m Message) {
	text, _ := json.Marshal(m)
	l.say(line{m.Index, string(text)})
}

// SayOnce puts out a line as it is to the watches that are open.
func (l *List) SayOnce(text string) { l.say(line{0, text}) }

func (l *List) say(m line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.said = append(l.said, m)
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// next gives all lines and a channel that tells when there are more.
func (l *List) next() ([]line, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.said, l.changed
}

// Whole gives the list as all that was said makes it.
func (l *List) Whole() Message {
	said, _ := l.next()
	all := Message{Snapshot: true, Endpoints: []Member{}}
	for _, line := range said {
		var m Message
		if line.index == 0 || json.Unmarshal([]byte(line.text), &m) != nil {
			continue
		}
		if m.Snapshot {
			all.Endpoints = nil
		}
		for _, e := range m.Endpoints {
			all.Endpoints = slices.DeleteFunc(all.Endpoints, func(o Member) bool { return o.Name == e.Name })
			if e.Status != "DELETED" {
				all.Endpoints = append(all.Endpoints, e)
			}
		}
		all.Index = m.Index
	}
	return all
}

// ServeHTTP serves the list, or a watch on it.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("follow") == "" {
		json.NewEncoder(w).Encode(l.Whole())
		return
	}
	beat := l.Beat
	if beat == 0 {
		beat = 2 * time.Second
	}
	since, _ := strconv.ParseInt(r.FormValue("since"), 10, 64)
	out := http.NewResponseController(w)
	old, _ := l.next()
	for sent := 0; ; {
		said, more := l.next()
		for ; sent < len(said); sent++ {
			if m := said[sent]; m.index > since || m.index == 0 && sent >= len(old) {
				fmt.Fprintln(w, m.text)
			}
		}
		if out.Flush() != nil {
			return
		}
		select {
		case <-more:
		case <-time.After(beat):
			fmt.Fprintln(w)
		case <-r.Context().Done():
			return
		}
	}
}
