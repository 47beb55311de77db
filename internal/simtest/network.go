package simtest

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// Latency is how long bytes take from one host to another.
	Latency = 2 * time.Millisecond
	// heldLimit is when a connection ends whose bytes nobody acknowledges, as the kernel is told to for our links.
	heldLimit = 900 * time.Millisecond
	// closeLimit is when the other end of such a connection learns of it, at the latest.
	closeLimit = 10 * time.Second
	// dialLimit bounds a dial without a limit of its own.
	dialLimit = time.Second
)

// Settled is how long a test waits at its end for all that still waits for a link or a timer.
const Settled = 2 * closeLimit

// Network is a network in memory between hosts named by IP, for programs that run in a synctest bubble: bytes are late, links can be cut one
// way, and what a cut holds up arrives when it heals, unless the connection has ended meanwhile.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[[2]string]bool // from IP, to IP
	healed    chan struct{}      // closed and replaced when a link heals
	conns     map[string][]net.Conn
	refusals  map[string]time.Duration // by IP: how long after a dial a port without a listener refuses it
}

// NewNetwork makes a network whose links all carry.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{}, cut: map[[2]string]bool{}, healed: make(chan struct{}), conns: map[string][]net.Conn{},
		refusals: map[string]time.Duration{},
	}
}

// Cut cuts the link from one host to another, or heals it.
func (n *Network) Cut(cut bool, from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cut[[2]string{from, to}] = true
		return
	}
	delete(n.cut, [2]string{from, to})
	close(n.healed)
	n.healed = make(chan struct{})
}

// SilentPort is a delay of refusals that no dial waits for: ports without a listener say nothing.
const SilentPort = time.Hour

// DelayRefusals sets how long after a dial the ports of a host without a listener refuse it.
func (n *Network) DelayRefusals(ip string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusals[ip] = delay
}

// CloseHost ends all connections of a host, as the end of its process does.
func (n *Network) CloseHost(ip string) {
	n.mu.Lock()
	conns := n.conns[ip]
	delete(n.conns, ip)
	n.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}

// Host is the network as one host sees it.
func (n *Network) Host(ip string) *Host { return &Host{n, ip} }

// Host dials and listens from one IP.
type Host struct {
	network *Network
	ip      string
}

// Dial connects to IP:port. Behind a cut it hangs until its limit.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n := h.network
	ip, _, _ := strings.Cut(addr, ":")
	limit := dialLimit
	if deadline, limited := ctx.Deadline(); limited {
		limit = time.Until(deadline)
	}
	if !n.passes(h.ip, ip, limit) || !n.passes(ip, h.ip, limit) {
		return nil, context.DeadlineExceeded
	}
	time.Sleep(2 * Latency)
	n.mu.Lock()
	listener, refusal := n.listeners[addr], n.refusals[ip]
	n.mu.Unlock()
	if listener == nil {
		return nil, refuseAfter(ctx, min(refusal, limit), refusal < limit)
	}
	near, nearWire := net.Pipe()
	far, farWire := net.Pipe()
	n.mu.Lock()
	n.conns[h.ip] = append(n.conns[h.ip], near)
	n.conns[ip] = append(n.conns[ip], far)
	n.mu.Unlock()
	go n.carry(h.ip, ip, nearWire, farWire)
	go n.carry(ip, h.ip, farWire, nearWire)
	select {
	case listener.accepted <- far:
		return near, nil
	case <-listener.closed:
		near.Close()
		far.Close()
		return nil, errRefused
	}
}

// refuseAfter returns what a dial gets from a port without a listener: a refusal or, if that comes too late,
// the end of its limit.
func refuseAfter(ctx context.Context, delay time.Duration, inTime bool) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if !inTime {
		return context.DeadlineExceeded
	}
	return errRefused
}

var errRefused = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)

// Listen takes connections at IP:port.
func (h *Host) Listen(addr string) (net.Listener, error) {
	n := h.network
	l := &listener{network: n, addr: addr, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l, nil
}

// passes waits until a link carries, at most so long.
func (n *Network) passes(from, to string, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		n.mu.Lock()
		cut, healed := n.cut[[2]string{from, to}], n.healed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-healed:
		case <-timer.C:
			return false
		}
	}
}

// carry moves bytes one way, late, and not while the link is cut. Both ends learn of a close only over a link that carries.
func (n *Network) carry(from, to string, source, sink net.Conn) {
	defer source.Close()
	buffer := make([]byte, 64<<10)
	for {
		read, err := source.Read(buffer)
		time.Sleep(Latency)
		if !n.passes(from, to, heldLimit) {
			source.Close()
			n.passes(from, to, closeLimit)
			sink.Close()
			return
		}
		if read > 0 {
			if _, err := sink.Write(buffer[:read]); err != nil {
				return
			}
		}
		if err != nil {
			sink.Close()
			return
		}
	}
}

// listener is a port that connections are taken at.
type listener struct {
	network  *Network
	addr     string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
