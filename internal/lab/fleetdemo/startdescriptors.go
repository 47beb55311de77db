package fleetdemo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"nettlefold/internal/rpc"
)

// runOutOfDescriptors has a role accept connections until it has no descriptor left, and asks it again when it has some.
func (p *startPlay) runOutOfDescriptors(role startRole) error {
	const connections, margin = 60, 8
	s, err := p.start(role, nil)
	if err != nil {
		return err
	}
	defer s.kill()
	if err := s.awaitListening(); err != nil {
		return err
	}
	pid := s.command.Process.Pid
	open, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	limit := unix.Rlimit{Cur: uint64(len(open) + margin), Max: 1 << 12}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return err
	}
	var conns []net.Conn
	for i := range connections {
		if conn, err := net.DialTimeout("tcp", role.addrs[i%len(role.addrs)], time.Second); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(hindranceTime / 2)
	for _, conn := range conns {
		conn.Close()
	}
	limit.Cur = limit.Max
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return err
	}
	time.Sleep(hindranceTime / 2)
	for _, addr := range role.addrs {
		if err := answers(addr); err != nil {
			return fmt.Errorf("%s is deaf at %s after it had run out of descriptors: %w", role.program, addr, err)
		}
	}
	return s.stop()
}

// answers asks at an address in HTTP, or in the fleet's own protocol if HTTP gets no answer.
func answers(addr string) error {
	const askLimit = 2 * time.Second
	conn, err := net.DialTimeout("tcp", addr, askLimit)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(askLimit))
	fmt.Fprintf(conn, "GET /v1/readiness HTTP/1.1\r\nHost: %s\r\n\r\n", addr)
	if n, _ := conn.Read(make([]byte, 1)); n > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	client := rpc.NewClient(addr)
	defer client.Close()
	err = client.Call(ctx, "unknown kind", struct{}{}, nil)
	var refused *rpc.RemoteError // the program has read the call
	if errors.As(err, &refused) {
		return nil
	}
	return err
}
