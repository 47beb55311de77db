package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"nettlefold/internal/conns"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/internal/transport"
	"nettlefold/mixer"
)

// peers accept connections and read nothing. They keep bare descriptors, so that nothing of theirs lies on this process's heap.
type peers struct {
	l    *net.TCPListener
	came chan int
}

func newPeers(most int) (*peers, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &peers{l.(*net.TCPListener), make(chan int, most)}
	f, err := p.l.File()
	if err != nil {
		l.Close()
		return nil, err
	}
	go func() {
		defer close(p.came)
		defer f.Close()
		for range most {
			fd, _, err := syscall.Accept(int(f.Fd()))
			if err != nil {
				return
			}
			p.came <- fd
		}
	}()
	return p, nil
}

// close ends the peers: whoever still waits is sent home by connections of our own.
func (p *peers) close() {
	for {
		select {
		case fd, ok := <-p.came:
			if !ok {
				p.l.Close()
				return
			}
			syscall.Close(fd)
		case <-time.After(10 * time.Millisecond):
			if c, err := net.Dial("tcp", p.l.Addr().String()); err == nil {
				c.Close()
			}
		}
	}
}

// playConnections opens so many connections from the real table of connections, with one part out on each, and gives what they
// hold on the heap, and what stacks have grown by, which depends on those of goroutines that have ended.
func playConnections(size int) (_ []float64, err error) {
	p, err := newPeers(size)
	if err != nil {
		return nil, err
	}
	defer p.close()
	c := Terms(size)
	c.Tariffs[0].Expected, c.Tariffs[0].Patience = int64(time.Minute), int64(time.Minute)
	var list protocol.MemberList
	for i := range size {
		m := protocol.Member{Address: p.l.Addr().String()}
		m.Searcher, m.Cell, m.Zone = "searcher-"+strconv.Itoa(i), i, "zone-0"
		list.Members = append(list.Members, m)
	}
	list.Snapshot = true
	r, err := router(c, list.Entries())
	if err != nil {
		return nil, err
	}
	searchers := transport.NewSearchers(limits(), slog.New(slog.DiscardHandler))
	defer searchers.Close()
	searchers.Listed(list)
	q := routing.Lookup{ID: "query", Tariff: "all", Expires: time.Now().Add(time.Minute)}
	for i := range size {
		q.Parts = append(q.Parts, routing.Part{Slice: i, Weight: 1 / float64(size)})
	}
	t, err := r.Take(q)
	if err != nil {
		return nil, err
	}
	step, err := t.Pick(context.Background())
	if err != nil || len(step.Calls) != size {
		return nil, fmt.Errorf("%d calls of %d, %v", len(step.Calls), size, err)
	}
	began, text := stacks(), string(make([]byte, textBytes))
	_, bytes := Held(func() bool {
		for _, call := range step.Calls {
			f := call.Forwards[0]
			searchers.Send(call.Searcher, false, []*transport.Parcel{{Forward: f, Part: protocol.Part{ID: f.ID,
				Shard: f.Part, Query: text}}})
		}
		for range 200 {
			if len(p.came) == size {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond) // for the last writers
		return true
	})
	stack := stacks() - began
	if len(p.came) != size {
		err = fmt.Errorf("%d connections of %d came", len(p.came), size)
	}
	runtime.KeepAlive(step)
	runtime.KeepAlive(t)
	return []float64{bytes, stack}, err
}

// playSpare sends single parts to one searcher after the other where there may be four connections only: for each the table finds
// the one that has been idle longest, closes it and opens another. It gives how many comparisons that takes, and how long the call does,
// without the connecting.
func playSpare(size int) (_ []float64, err error) {
	const times = 24
	p, err := newPeers(times)
	if err != nil {
		return nil, err
	}
	defer p.close()
	list, err := read(whole(size, cellsOf(size)))
	if err != nil {
		return nil, err
	}
	for i := range list.Members {
		list.Members[i].Address = p.l.Addr().String()
	}
	c := Terms(cellsOf(size))
	c.Tariffs[0].Expected, c.Tariffs[0].Patience = int64(time.Minute), int64(time.Minute)
	r, err := router(c, list.Entries())
	if err != nil {
		return nil, err
	}
	lim := limits()
	lim.FileDescriptors = 2*4 + 32
	searchers := transport.NewSearchers(lim, slog.New(slog.DiscardHandler))
	defer searchers.Close()
	searchers.Listed(list)
	const there = 8 // the four are there, and in each one's place another has come
	least, steps := time.Hour, uint64(0)
	for k := range times {
		if k == there {
			steps = searchers.Connections().Steps
		}
		t, err := r.Take(routing.Lookup{ID: "query-" + strconv.Itoa(k), Tariff: "all", Expires: time.Now().Add(time.Minute),
			Parts: []routing.Part{{Slice: k, Weight: 1}}})
		if err != nil {
			return nil, err
		}
		step, err := t.Pick(context.Background())
		if err != nil || len(step.Calls) != 1 {
			return nil, fmt.Errorf("%d calls, %v", len(step.Calls), err)
		}
		call := step.Calls[0]
		f := call.Forwards[0]
		parcel := &transport.Parcel{Forward: f, Part: protocol.Part{ID: f.ID, Shard: k}}
		began := time.Now()
		searchers.Send(call.Searcher, false, []*transport.Parcel{parcel})
		if k >= there {
			least = min(least, time.Since(began))
		}
		select {
		case fd := <-p.came:
			defer syscall.Close(fd)
		case <-time.After(10 * time.Second):
			return nil, fmt.Errorf("connection %d did not come", k)
		}
		time.Sleep(5 * time.Millisecond) // its other end is up too
		f.Report(mixer.Succeeded, nil)
	}
	return []float64{float64(searchers.Connections().Steps-steps) / (times - there), least.Seconds()}, nil
}

// idleConn is an idle connection without a socket.
type idleConn struct {
	conns.Entry
	used int64
}

func (c *idleConn) Used() int64 { return c.used }

// playChoice has a full pool choose the connection to be closed, close it and take another in its place, with a budget, which has the
// most orders to keep. It gives comparisons and time.
func playChoice(size int) ([]float64, error) {
	const times = 2000
	now, open := int64(0), conns.Budget{Open: size}
	p := conns.New(open, math.MaxInt64)
	add := func() {
		now++
		c, of := &idleConn{used: now}, &conns.Peer{}
		p.Use(now, of)
		p.Open(now, &c.Entry, c, of)
		p.Idle(&c.Entry, conns.Sound)
	}
	for range size {
		add()
	}
	began, steps := time.Now(), p.Stats().Steps
	for range times {
		if !p.TooMany() {
			return nil, fmt.Errorf("room for more than %d", size)
		}
		e, why := p.Spare(now)
		p.Close(e, why)
		add()
	}
	return []float64{float64(p.Stats().Steps-steps) / times, time.Since(began).Seconds() / times}, nil
}

// stacks gives what stacks of goroutines take.
func stacks() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.StackInuse)
}
