package capacity

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
	"nettlefold/internal/transport"
	"nettlefold/mixer"
)

// limits are those of a mixer of the plan; what the plan does not name is as in example/config.json.
func limits() charter.Limits {
	l, _ := charter.Settings{}.Limits(mixer.Config{}) // what the settings do not name; the faults are of what they must name
	l.FileDescriptors, l.MaxStreamsPerConn, l.ConnectTimeout = 2*int(Searchers)+100, 100, 250*time.Millisecond
	l.KeepAliveTimeout = time.Duration(keepAlive * 1e9)
	return l
}

// heldByTable gives what the table of connections holds of a list without any connection, and its end.
func heldByTable(list protocol.MemberList) (end func(), bytes float64) {
	s, bytes := Held(func() *transport.Searchers {
		s := transport.NewSearchers(limits(), slog.New(slog.DiscardHandler))
		s.Listed(list)
		return s
	})
	return s.Close, bytes
}

// heldByWatch gives what a watch holds of a list that it has read from a socket, beside the list that it handed on.
func heldByWatch(size int) (bytes float64, err error) {
	l, err := hushed(whole(size, cellsOf(size)))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	var read int
	w, bytes := Held(func() *transport.Watch {
		told := make(chan int, 1)
		w := &transport.Watch{Discovery: l.Addr().String(), Fresh: true, Limits: limits(), Log: slog.New(slog.DiscardHandler)}
		w.Listed = func(list protocol.MemberList) { told <- len(list.Members) }
		go func() {
			w.Run(ctx)
			close(ended)
		}()
		select {
		case read = <-told:
		case <-time.After(30 * time.Second):
		}
		return w
	})
	runtime.KeepAlive(w)
	stop()
	<-ended
	if read != size {
		return 0, fmt.Errorf("watch: %d members of %d", read, size)
	}
	return bytes, nil
}

// hushed is discovery on a loopback socket: it tells the whole list, and then nothing but signs of life.
func hushed(raw []byte) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				request := make([]byte, 4096)
				n, _ := c.Read(request)
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n")
				if !strings.Contains(string(request[:n]), "follow=1") {
					c.Write(raw)
					return
				}
				for {
					if _, err := io.WriteString(c, "\n"); err != nil {
						return
					}
					time.Sleep(time.Second)
				}
			}()
		}
	}()
	return l, nil
}
