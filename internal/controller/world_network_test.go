package controller

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"
)

// worldNetwork is the network as one machine sees it.
type worldNetwork struct {
	w  *world
	ip string
}

func (n *worldNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ip, _, _ := strings.Cut(addr, ":")
	deadline, limited := ctx.Deadline()
	limit := time.Second
	if limited {
		limit = time.Until(deadline)
	}
	if !n.w.passes(n.ip, ip, limit) || !n.w.passes(ip, n.ip, limit) {
		return nil, context.DeadlineExceeded
	}
	time.Sleep(2 * worldLatency)
	n.w.mu.Lock()
	listener := n.w.listeners[addr]
	n.w.mu.Unlock()
	if listener == nil {
		return nil, errors.New("connection refused")
	}
	near, nearWire := net.Pipe()
	far, farWire := net.Pipe()
	n.w.mu.Lock()
	n.w.conns[n.ip] = append(n.w.conns[n.ip], near)
	n.w.conns[ip] = append(n.w.conns[ip], far)
	n.w.mu.Unlock()
	go n.w.carry(n.ip, ip, nearWire, farWire)
	go n.w.carry(ip, n.ip, farWire, nearWire)
	select {
	case listener.accepted <- far:
		return near, nil
	case <-listener.closed:
		near.Close()
		far.Close()
		return nil, errors.New("connection refused")
	}
}

// carry moves bytes one way, late, and not while the link is cut. Both ends learn of a close only over a link that carries.
func (w *world) carry(from, to string, source, sink net.Conn) {
	defer source.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := source.Read(buffer)
		time.Sleep(worldLatency)
		if !w.passes(from, to, heldLimit) {
			source.Close()
			w.passes(from, to, closeLimit)
			sink.Close()
			return
		}
		if n > 0 {
			if _, err := sink.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			sink.Close()
			return
		}
	}
}

type worldListener struct {
	w        *world
	addr     string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (n *worldNetwork) Listen(addr string) (net.Listener, error) {
	l := &worldListener{w: n.w, addr: addr, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.w.listeners[addr] = l
	return l, nil
}

func (l *worldListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *worldListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.w.mu.Lock()
		defer l.w.mu.Unlock()
		if l.w.listeners[l.addr] == l {
			delete(l.w.listeners, l.addr)
		}
	})
	return nil
}

func (l *worldListener) Addr() net.Addr { return &net.TCPAddr{} }
