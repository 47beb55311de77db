package rpc

import (
	"context"
	"net"
)

// Network makes connections between machines. Programs use TCP; tests one that they can cut.
type Network interface {
	// Dial connects to IP:port until ctx ends.
	Dial(ctx context.Context, addr string) (net.Conn, error)
	// Listen takes connections at IP:port.
	Listen(addr string) (net.Listener, error)
}

// TCP is the network of the machine.
type TCP struct{}

// Dial connects over TCP. A peer that is silent for too long ends the connection.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	setTCPUserTimeout(conn)
	return conn, nil
}

// Listen listens on TCP.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
