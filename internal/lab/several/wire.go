package several

import (
	"context"
	"errors"
	"io"
	"math/rand"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// wire carries what one party sends to an address of another, streams always and packets where the address takes them.
// Each pair has its own, so that each can be cut alone, and the party behind sees its peer's own address.
type wire struct {
	n                  *network
	from, to           string
	at, target, source string // where it listens; what is behind; the address to come from
	udp                *net.UDPConn
	ctx                context.Context
	cancel             context.CancelFunc

	l       *net.TCPListener // nil: what is behind does not run
	blocked bool
	fillers map[string]net.Conn
	paused  chan struct{}
	resume  chan struct{}
	mu      sync.Mutex
	conns   map[*net.TCPConn]bool
	rng     *rand.Rand // of streams
}

// wire makes the wire of a pair. Kind tells wires of the same pair apart.
func (n *network) wire(kind, from, to, at, target, source string, seed int64) (*wire, error) {
	w := &wire{n: n, from: from, to: to, at: at, target: target, source: source, conns: map[*net.TCPConn]bool{},
		paused: make(chan struct{}), resume: make(chan struct{}), rng: rand.New(rand.NewSource(seed))}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	if err := w.open(); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wires[[2]string{from, kind + to}] = w
	return w, nil
}

// open listens.
func (w *wire) open() error {
	l, err := net.Listen("tcp", w.at)
	if err != nil {
		return err
	}
	w.l, w.blocked, w.fillers = l.(*net.TCPListener), false, map[string]net.Conn{}
	go w.accept(w.l, w.fillers)
	return nil
}

// follow has the listener be as the network is: refusing, mute or open.
func (w *wire) follow() {
	there, _ := w.n.fault(w.from, w.to)
	back, _ := w.n.fault(w.to, w.from)
	w.n.mu.Lock()
	down := w.n.down[w.to]
	w.n.mu.Unlock()
	cut := there.Cut || back.Cut
	if w.l != nil && w.blocked && !cut {
		w.unblock()
	}
	switch {
	case w.ctx.Err() != nil:
	case down && !cut && w.l != nil:
		w.l.Close()
		w.l = nil
	case !down && w.l == nil || down && cut && w.l == nil:
		for w.open() != nil && w.ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
	if w.l != nil && cut && !w.blocked {
		w.block()
	}
}

// block has new connections never come up. The listener's queue is made to hold one, and is filled: the kernel leaves
// unanswered what comes after, which is what a machine that is cut off looks like.
func (w *wire) block() {
	w.l.SetDeadline(time.Unix(1, 0))
	<-w.paused
	w.queue(0)
	for range 4 {
		c, err := net.DialTimeout("tcp", w.at, 20*time.Millisecond)
		if err != nil {
			break
		}
		w.fillers[c.LocalAddr().String()] = c
	}
	w.blocked = true
}

func (w *wire) unblock() {
	for _, c := range w.fillers {
		c.Close()
	}
	w.queue(1024)
	w.l.SetDeadline(time.Time{})
	w.blocked = false
	w.resume <- struct{}{}
}

func (w *wire) queue(n int) {
	if raw, err := w.l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// accept takes connections until its listener ends. While the wire is blocked it takes none.
func (w *wire) accept(l *net.TCPListener, fillers map[string]net.Conn) {
	for {
		c, err := l.AcceptTCP()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			select {
			case w.paused <- struct{}{}:
			case <-w.ctx.Done():
				return
			}
			select {
			case <-w.resume:
			case <-w.ctx.Done():
				return
			}
		case err != nil:
			return
		case fillers[c.RemoteAddr().String()] != nil:
			delete(fillers, c.RemoteAddr().String())
			c.Close()
		default:
			go w.carry(c)
		}
	}
}

// carry takes one connection to what is behind and moves bytes both ways.
func (w *wire) carry(c *net.TCPConn) {
	d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(w.source)}}
	nc, err := d.DialContext(w.ctx, "tcp", w.target)
	if err != nil {
		w.n.mu.Lock()
		w.n.refused[c.RemoteAddr().String()] = true
		w.n.mu.Unlock()
		abort(c)
		return
	}
	b := nc.(*net.TCPConn)
	w.mu.Lock()
	w.conns[c], w.conns[b] = true, true
	w.mu.Unlock()
	if w.ctx.Err() != nil {
		abort(c)
		abort(b)
	}
	var wg sync.WaitGroup
	wg.Go(func() { w.pump(c, b, w.from, w.to) })
	wg.Go(func() { w.pump(b, c, w.to, w.from) })
	wg.Wait()
	c.Close()
	b.Close()
	w.mu.Lock()
	delete(w.conns, c)
	delete(w.conns, b)
	w.mu.Unlock()
}

// abort ends a connection as a machine does that knows nothing of it.
func abort(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// piece is some bytes of a stream, or its end.
type piece struct {
	raw []byte
	at  time.Time
	err error
}

// pump moves bytes one way, in order, each as late as the wire has it, and the end of the stream after them.
func (w *wire) pump(from, to *net.TCPConn, x, y string) {
	pieces := make(chan piece, 64)
	go func() {
		defer close(pieces)
		for {
			raw := make([]byte, 16<<10)
			k, err := from.Read(raw)
			select {
			case pieces <- piece{raw[:k], time.Now(), err}:
			case <-w.ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		f := w.pass(x, y, p.at)
		if w.ctx.Err() != nil {
			abort(to)
			return
		}
		if len(p.raw) > 0 {
			if f.Again {
				p.raw = append(p.raw, p.raw...)
			}
			if _, err := to.Write(p.raw); err != nil {
				w.pass(y, x, time.Now()) // the news of it takes the wire back
				abort(from)
				for range pieces { // the reader ends by the abort
				}
				return
			}
		}
		if errors.Is(p.err, io.EOF) {
			to.CloseWrite()
		} else if p.err != nil {
			abort(to)
		}
	}
}

// pass waits for as long as the wire keeps something that was sent at a time, and gives what else it does to it.
func (w *wire) pass(x, y string, sent time.Time) Fault {
	late := time.Duration(0)
	for {
		f, changed := w.n.fault(x, y)
		if f.Cut {
			select {
			case <-changed:
				continue
			case <-w.ctx.Done():
				return f
			}
		}
		if late == 0 && f.Lose > 0 {
			w.mu.Lock()
			if late = 1; w.rng.Float64() < f.Lose {
				late = resendAfter
			}
			w.mu.Unlock()
		}
		wait := time.Until(sent.Add(f.Delay + late))
		if wait <= 0 || w.ctx.Err() != nil {
			return f
		}
		select {
		case <-time.After(wait):
		case <-w.ctx.Done():
			return f
		}
	}
}

// reset ends the wire's connections.
func (w *wire) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		abort(c)
	}
}

// close ends the wire.
func (w *wire) close() {
	w.cancel()
	if w.l != nil {
		w.l.Close()
	}
	if w.blocked { // else the acceptor has them
		for _, c := range w.fillers {
			c.Close()
		}
	}
	if w.udp != nil {
		w.udp.Close()
	}
	w.reset()
}

// packets has the wire take packets too. Back is the wire of the other direction: what is behind sees packets come from
// where it would send to.
func (w *wire) packets(back *wire, seed int64) {
	rng, target, held := rand.New(rand.NewSource(seed)), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(w.target)), []byte(nil)
	send := func(raw []byte) { back.udp.WriteToUDP(raw, target) }
	buf := make([]byte, 64<<10)
	for {
		k, _, err := w.udp.ReadFromUDP(buf)
		if err != nil {
			if w.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a refusal that an earlier packet has met
		}
		f, _ := w.n.fault(w.from, w.to)
		if f.Cut || rng.Float64() < f.Lose {
			continue
		}
		raw := append([]byte(nil), buf[:k]...)
		if held == nil && rng.Float64() < f.Reorder {
			held = raw
			continue
		}
		all := [][]byte{raw}
		if rng.Float64() < f.Repeat {
			all = append(all, raw)
		}
		if held != nil {
			all, held = append(all, held), nil
		}
		for _, raw := range all {
			if f.Delay > 0 {
				time.AfterFunc(f.Delay, func() { send(raw) })
			} else {
				send(raw)
			}
		}
	}
}
