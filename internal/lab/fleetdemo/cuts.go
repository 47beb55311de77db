package fleetdemo

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times of the relay between machines.
const (
	introductionLimit = 2 * time.Second
	unacknowledged    = 900 * time.Millisecond // after which the programs' kernels end a connection whose bytes are not taken
	relayBuffer       = 16 << 10               // bytes
)

// link is two machines, by their IPs, the smaller one first.
type link struct{ a, b string }

func linkOf(x, y string) link { return link{min(x, y), max(x, y)} }

// errCut says that a cut held bytes up for too long.
var errCut = errors.New("the link is cut")

// cutNetwork relays what machines send each other, and holds up what goes over links that are cut.
type cutNetwork struct {
	listener net.Listener
	ctx      context.Context
	end      context.CancelFunc

	mu      sync.Mutex
	cuts    map[link]int // by how many cuts a link is held
	changed chan struct{}
}

// newCutNetwork starts a relay at an address.
func newCutNetwork(addr string) (*cutNetwork, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	n := &cutNetwork{listener: listener, cuts: map[link]int{}, changed: make(chan struct{})}
	n.ctx, n.end = context.WithCancel(context.Background())
	go n.accept()
	return n, nil
}

// close ends the relay and all connections.
func (n *cutNetwork) close() {
	n.end()
	n.listener.Close()
}

// cut holds links up until the returned function is called. A link that is in several cuts is held up until the last of them is over.
func (n *cutNetwork) cut(links []link) (heal func()) {
	n.count(links, 1)
	return func() { n.count(links, -1) }
}

func (n *cutNetwork) count(links []link, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		n.cuts[l] += by
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// state tells whether a link is cut, and gives a channel that is closed when that may have changed.
func (n *cutNetwork) state(l link) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[l] > 0, n.changed
}

// pass waits until a link carries. It fails when ctx ends.
func (n *cutNetwork) pass(ctx context.Context, l link) error {
	for {
		cut, changed := n.state(l)
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errCut
		}
	}
}

func (n *cutNetwork) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		go n.serve(conn.(*net.TCPConn))
	}
}

// serve reads which machine dials which address, connects the two once their link carries, and moves bytes both ways. A byte tells the
// dialler that it is connected.
func (n *cutNetwork) serve(near *net.TCPConn) {
	defer reset(near)
	defer context.AfterFunc(n.ctx, func() { near.Close() })()
	near.SetReadDeadline(time.Now().Add(introductionLimit))
	reader := bufio.NewReaderSize(near, relayBuffer)
	line, err := reader.ReadString('\n')
	from, addr, ok := strings.Cut(strings.TrimSpace(line), " ")
	if err != nil || !ok || reader.Buffered() > 0 { // the dialler says no more before it is connected
		return
	}
	near.SetReadDeadline(time.Time{})
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return
	}
	l := linkOf(from, host)
	if !n.passWhileOpen(near, l) {
		return
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(n.ctx, "tcp", addr)
	if err != nil {
		return
	}
	far := conn.(*net.TCPConn)
	defer reset(far)
	defer context.AfterFunc(n.ctx, func() { far.Close() })()
	if _, err := near.Write([]byte{'+'}); err != nil {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { n.pump(near, far, l) })
	both.Go(func() { n.pump(far, near, l) })
	both.Wait()
}

// passWhileOpen waits until a link carries, and tells whether the dialler is still there by then: it says nothing meanwhile, so a read that
// ends means that it has gone.
func (n *cutNetwork) passWhileOpen(near *net.TCPConn, l link) bool {
	if cut, _ := n.state(l); !cut {
		return true
	}
	ctx, gone := context.WithCancel(n.ctx)
	defer gone()
	var watching sync.WaitGroup
	watching.Go(func() {
		if _, err := near.Read(make([]byte, 1)); !isTimeout(err) {
			gone()
		}
	})
	err := n.pass(ctx, l)
	near.SetReadDeadline(time.Unix(1, 0))
	watching.Wait()
	near.SetReadDeadline(time.Time{})
	return err == nil && ctx.Err() == nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// pump moves bytes one way. Bytes that a cut holds up for too long end the sender's side at once, as its kernel would; the other side hears
// of that when the link carries again.
func (n *cutNetwork) pump(from, to *net.TCPConn, l link) {
	buffer := make([]byte, relayBuffer)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			held, done := context.WithTimeout(n.ctx, unacknowledged)
			cut := n.pass(held, l)
			done()
			if cut != nil {
				reset(from)
			} else if _, err := to.Write(buffer[:count]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if n.pass(n.ctx, l) == nil {
				end(to, err)
			}
			return
		}
	}
}

// end passes on how a stream ended.
func end(to *net.TCPConn, err error) {
	if errors.Is(err, io.EOF) {
		to.CloseWrite()
		return
	}
	reset(to)
}

// reset ends a connection without a farewell.
func reset(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// between gives the links of one group of machines with another.
func between(some, others []string) (links []link) {
	for _, x := range some {
		for _, y := range others {
			if x != y {
				links = append(links, linkOf(x, y))
			}
		}
	}
	return links
}

// without gives the machines that are not in a group.
func without(all, group []string) (rest []string) {
	for _, machine := range all {
		if !slices.Contains(group, machine) {
			rest = append(rest, machine)
		}
	}
	return rest
}
