package simtest

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// SilentListener takes the place of the TCP port of a dead process and says nothing to those who connect to
// it, as a host does that filters or has no power: its queue of new connections is full, so that the kernel
// drops their opening packets. It needs no privileges.
type SilentListener struct {
	socket int
	conns  []net.Conn // fill the queue
}

// errPortAnswers is returned if a port goes on accepting connections though its queue should be full.
var errPortAnswers = errors.New("silent port: the queue of connections doesn't fill up")

// ListenSilently silences a port (IPv4:port) on which no process listens.
func ListenSilently(addr string) (*SilentListener, error) {
	tcpAddr, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("silent port: %w", err)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("silent port: %w", err)
	}
	s := &SilentListener{socket: socket}
	if err := s.listen(tcpAddr); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.fill(addr); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// listen binds the socket with the shortest queue.
func (s *SilentListener) listen(addr *net.TCPAddr) error {
	if err := syscall.SetsockoptInt(s.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("silent port: %w", err)
	}
	if err := syscall.Bind(s.socket, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())}); err != nil {
		return fmt.Errorf("silent port: bind %v: %w", addr, err)
	}
	if err := syscall.Listen(s.socket, 0); err != nil {
		return fmt.Errorf("silent port: listen on %v: %w", addr, err)
	}
	return nil
}

// fill connects until the queue is full.
func (s *SilentListener) fill(addr string) error {
	const (
		attempts = 16
		timeout  = 150 * time.Millisecond // longer than a busy machine delays an accepted connection
	)
	for range attempts {
		conn, err := net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			return nil
		}
		s.conns = append(s.conns, conn)
	}
	return errPortAnswers
}

// Close frees the port, which then refuses connections.
func (s *SilentListener) Close() {
	for _, conn := range s.conns {
		conn.Close()
	}
	syscall.Close(s.socket)
}
