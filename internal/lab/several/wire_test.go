package several

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// TestWireIsCut has a wire say nothing and lose nothing while it is cut, in one direction or both, and refuse where nobody is.
func TestWireIsCut(t *testing.T) {
	w := &World{}
	if err := w.claim(); err != nil {
		t.Fatal(err)
	}
	defer w.lock.Close()
	n := newNetwork()
	defer n.close()
	behind, err := net.Listen("tcp", w.address(1, portServe))
	if err != nil {
		t.Fatal(err)
	}
	defer behind.Close()
	at := w.address(1, portWire)
	if _, err := n.wire("", "a-m0", "b-s0", at, behind.Addr().String(), w.host(0), 1); err != nil {
		t.Fatal(err)
	}
	dial := func(within time.Duration) (net.Conn, error) { return net.DialTimeout("tcp", at, within) }
	near, err := dial(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := behind.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	if from, _, _ := net.SplitHostPort(far.RemoteAddr().String()); from != w.host(0) {
		t.Errorf("comes from %s, want its own address", from)
	}
	reads := func(c net.Conn, want string) { // "": nothing, not even an end
		t.Helper()
		within := 10 * time.Second
		if want == "" {
			within = 100 * time.Millisecond
		}
		c.SetReadDeadline(time.Now().Add(within))
		got := make([]byte, 9)
		k, err := c.Read(got)
		if string(got[:k]) != want || want == "" && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("got %q, %v, want %q", got[:k], err, want)
		}
	}
	near.Write([]byte("sound"))
	reads(far, "sound")
	n.set("b", "a", Fault{Cut: true})
	near.Write([]byte("there"))
	reads(far, "there")
	far.Write([]byte("back"))
	reads(near, "")
	if c, err := dial(50 * time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection came up over half a cut")
	}
	n.heal()
	reads(near, "back")
	n.set("b", "a", Fault{Cut: true})
	far.Close()
	reads(near, "")
	n.runs("b-s0", false)
	n.heal()
	if c, err := dial(10 * time.Second); err == nil {
		c.Close()
		t.Error("a connection came up to a party that does not run")
	}
	n.runs("b-s0", true)
	if c, err := dial(10 * time.Second); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
	if !n.troubled("b-s0", "a-m0", time.Now(), time.Now()) || n.troubled("a-m0", "c-s0", time.Now(), time.Now()) {
		t.Error("the trouble is not noted, or noted of others")
	}
}
