package standin

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"
)

// talk sends bytes on a new connection and gives what comes back until so many bytes are there or it ends.
func talk(t *testing.T, s *Server, send string, want int) string {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write([]byte(send)); err != nil {
		t.Fatal(err)
	}
	in, got := bufio.NewReader(c), []byte{}
	for len(got) < want {
		b, err := in.ReadByte()
		if err != nil {
			break
		}
		got = append(got, b)
	}
	return string(got)
}

func started(t *testing.T, s *Server) *Server {
	t.Helper()
	if err := s.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// says sends each text on a connection of its own, and checks what comes back.
func (s *Server) says(t *testing.T, all [][2]string) {
	t.Helper()
	for _, c := range all {
		if got := talk(t, s, c[0], len(c[1])); got != c[1] {
			t.Errorf("%q: %q, want %q", c[0], got, c[1])
		}
	}
}

// TestWords has the answers as the protocol's pages give them, byte by byte.
func TestWords(t *testing.T) {
	s := started(t, &Server{})
	s.says(t, [][2]string{
		{"PING\r\n", "+PONG\r\n"},
		{"*1\r\n$4\r\nPING\r\n", "+PONG\r\n"},
		{"SET a 1\r\nGET a\r\n", "+OK\r\n$1\r\n1\r\n"},
		{"GET none\r\n", "$-1\r\n"},
		{"SET a 1 NX\r\n", "$-1\r\n"},
		{"MGET a none\r\n", "*2\r\n$1\r\n1\r\n$-1\r\n"},
		{"SADD s y x x\r\nSMEMBERS s\r\nSREM s x y z\r\nEXISTS s\r\n", ":2\r\n*2\r\n$1\r\nx\r\n$1\r\ny\r\n:2\r\n:0\r\n"},
		{"SADD a x\r\n", "-WRONGTYPE Operation against a key holding the wrong kind of value\r\n"},
		{"SADD set m\r\nGET set\r\nMGET set\r\n", ":1\r\n-WRONGTYPE Operation against a key holding the wrong kind of value\r\n*1\r\n$-1\r\n"},
		{"TTL a\r\nTTL none\r\nPEXPIRE none 5\r\nPEXPIRE a 5000\r\nTTL a\r\n", ":-1\r\n:-2\r\n:0\r\n:1\r\n:5\r\n"},
		{"SET a\r\n", "-ERR wrong number of arguments for 'set' command\r\n"},
		{"SET a b PX x\r\n", "-ERR value is not an integer or out of range\r\n"},
		{"SET a b PX 0\r\n", "-ERR invalid expire time in 'set' command\r\n"},
		{"SET a b SOON\r\n", "-ERR syntax error\r\n"},
		{"EVAL x 0\r\n", "-ERR unknown command 'EVAL', with args beginning with: 'x' '0' \r\n"},
		{"HELLO 9\r\n", "-NOPROTO unsupported protocol version\r\n"},
		{"SELECT 3\r\n", "-ERR DB index is out of range\r\n"},
		{"*x\r\n", "-ERR Protocol error: invalid multibulk length\r\n"},
		{"*1\r\n:4\r\n", "-ERR Protocol error: expected '$', got ':'\r\n"},
		{"*1\r\n$-5\r\n", "-ERR Protocol error: invalid bulk length\r\n"},
	})
	third := talk(t, s, "HELLO 3\r\nGET none\r\nSMEMBERS set\r\n", 400)
	for _, want := range []string{"%7\r\n$6\r\nserver\r\n", "$5\r\nproto\r\n:3\r\n", "_\r\n", "~1\r\n$1\r\nm\r\n"} {
		if !strings.Contains(third, want) {
			t.Errorf("third protocol: %q lacks %q", third, want)
		}
	}
}

func TestLogin(t *testing.T) {
	s := started(t, &Server{User: "u", Password: "p"})
	s.says(t, [][2]string{
		{"GET a\r\n", "-NOAUTH Authentication required.\r\n"},
		{"AUTH u wrong\r\n", "-WRONGPASS invalid username-password pair or user is disabled.\r\n"},
		{"AUTH p\r\n", "-WRONGPASS invalid username-password pair or user is disabled.\r\n"}, // of the user default
		{"AUTH u p\r\nPING\r\n", "+OK\r\n+PONG\r\n"},
		{"HELLO 3 AUTH u wrong\r\n", "-WRONGPASS invalid username-password pair or user is disabled.\r\n"},
	})
	if got := talk(t, s, "HELLO 3 AUTH u p\r\n", 3); got != "%7\r" {
		t.Errorf("HELLO with login: %q", got)
	}
}

func TestKeysEndAndStatesComeBack(t *testing.T) {
	now := time.Unix(1000, 0)
	k := NewKeyspace()
	k.Do(now, []string{"set", "a", "1", "px", "1500"})
	k.Do(now, []string{"set", "b", "1", "ex", "5"})
	k.Do(now, []string{"sadd", "s", "x"})
	kept := k.Copy()
	if n := k.Len(now.Add(1499 * time.Millisecond)); n != 3 {
		t.Errorf("%d keys", n)
	}
	if n := k.Len(now.Add(1500 * time.Millisecond)); n != 2 {
		t.Errorf("%d keys after one's end", n)
	}
	k.Do(now, []string{"sadd", "s", "y"})
	k.Do(now, []string{"del", "b"})
	if got := kept.Do(now, []string{"smembers", "s"}).(set); len(got) != 1 || kept.Len(now) != 3 {
		t.Errorf("the copy has changed: %v, %d keys", got, kept.Len(now))
	}
}
