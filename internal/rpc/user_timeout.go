package rpc

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// silenceLimit is how long a peer may leave bytes unacknowledged. Without it a connection to a machine that lost power, or is behind a
// cut, takes messages for many seconds that nobody will read, also when the machine is back.
const tcpUserTimeout = 900 * time.Millisecond

// limitSilence has the kernel end a connection whose peer does not acknowledge in time.
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
