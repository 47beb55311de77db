package relay

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestTellingEndsAtAHeadWithoutEnd: a relay whose response to a telling has a head without end is given up after a few
// kilobytes, however fast they come.
func TestTellingEndsAtAHeadWithoutEnd(t *testing.T) {
	const acceptedLimit = 1 << 20
	for _, first := range []string{"HTTP/1.1 204 ", "HTTP/1.1 204 No Content\r\nX-Long: "} {
		near, far := net.Pipe()
		accepted := make(chan int)
		go func() {
			defer far.Close()
			io.ReadFull(far, make([]byte, len("telling")))
			io.WriteString(far, first)
			sent := 0
			for text := strings.Repeat("x", 1024); sent < acceptedLimit; {
				n, err := io.WriteString(far, text)
				if sent += n; err != nil {
					break
				}
			}
			accepted <- sent
		}()
		near.SetDeadline(time.Now().Add(10 * time.Second))
		if err := exchange(near, []byte("telling")); err == nil {
			t.Errorf("%q: no error", first)
		}
		near.Close()
		if sent := <-accepted; sent >= acceptedLimit {
			t.Errorf("%q: %d bytes were read", first, sent)
		}
	}
}
