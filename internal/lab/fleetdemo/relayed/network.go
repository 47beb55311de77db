// Package rpc stands in for the file network.go of internal/rpc in the build that a soak plays: what machines dial goes through the soak's
// relay, which can cut them off from each other. The package is compiled and vetted by itself; Build overlays the file.
package rpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
)

// Variables of the environment by which a process finds the relay.
const (
	relayVariable   = "NETTLEFOLD_SOAK_RELAY"   // where the relay listens
	machineVariable = "NETTLEFOLD_SOAK_MACHINE" // IP of the machine that the process stands for
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

// Dial connects over TCP, through the relay to other machines. It waits for as long as a cut holds the connection up, and fails where the
// relay was refused.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	relay, machine := os.Getenv(relayVariable), os.Getenv(machineVariable)
	if relay == "" || strings.HasPrefix(addr, machine+":") {
		return dialer.DialContext(ctx, "tcp", addr)
	}
	conn, err := dialer.DialContext(ctx, "tcp", relay)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	_, err = fmt.Fprintf(conn, "%s %s\n", machine, addr)
	if err == nil {
		_, err = io.ReadFull(conn, make([]byte, 1))
	}
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("dial %s by the relay: %w", addr, dialError(ctx))
	}
	return conn, nil
}

// dialError returns the error that a dial without the relay would have had: the relay ends a connection only if the machine refused it.
func dialError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return syscall.ECONNREFUSED
}

// Listen listens on TCP.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
