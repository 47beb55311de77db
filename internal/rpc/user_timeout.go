package rpc

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is how long sent bytes may stay unacknowledged by the peer. Without it a connection
// to a machine that lost power or is partitioned keeps accepting writes for many seconds. What
// is written in that time is lost, even if the machine comes back.
const tcpUserTimeout = 900 * time.Millisecond

// setTCPUserTimeout makes the kernel close a TCP connection whose peer doesn't acknowledge sent bytes
// within tcpUserTimeout. It does nothing for other connections. Errors are ignored: without the
// timeout the connection still works.
func setTCPUserTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}
