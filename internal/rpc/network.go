package rpc

import (
	"context"
	"net"
)

// Network opens connections between machines. Programs use TCP; tests use implementations that
// simulate network partitions.
type Network interface {
	// Dial connects to addr (IP:port). It fails when ctx is done first.
	Dial(ctx context.Context, addr string) (net.Conn, error)
	// Listen listens for connections on addr (IP:port).
	Listen(addr string) (net.Listener, error)
}

// TCP is the Network that uses the operating system's TCP stack.
type TCP struct{}

// Dial connects to addr over TCP. The kernel closes the connection when the peer leaves sent bytes
// unacknowledged for 900 ms.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	setTCPUserTimeout(conn)
	return conn, nil
}

// Listen listens on addr over TCP.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
