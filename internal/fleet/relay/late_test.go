package relay

import (
	"net"
	"testing"
	"time"
)

// TestLateReaderFindsLittleThatIsOld has a mixer's session read nothing, and counts what the system takes of its relay meanwhile:
// all that is read later, however old, before the newest.
func TestLateReaderFindsLittleThatIsOld(t *testing.T) {
	l := listen(t, "127.0.0.1:0")
	defer l.Close()
	took := make(chan int, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		nc.(*net.TCPConn).SetWriteBuffer(mixerRoom)
		nc.Read(make([]byte, 4<<10))
		nc.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
		all, line := 0, make([]byte, 1<<10)
		for {
			nc.SetWriteDeadline(time.Now().Add(time.Second))
			n, err := nc.Write(line)
			if all += n; err != nil {
				took <- all
				return
			}
		}
	}()
	s, err := open(t.Context(), plain, l.Addr().String(), "/", usual)
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if all := <-took; all > 96<<10 {
		t.Errorf("%d bytes wait", all)
	} else {
		t.Logf("%d bytes wait", all)
	}
}
