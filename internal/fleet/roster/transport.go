package roster

import (
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// routed is memberlist's own transport, but that some mixers are reached at other addresses than they tell: through a relay, a
// translation of addresses, or a wire of the test rig.
type routed struct {
	*memberlist.NetTransport
	routes map[string]string // by the mixer's name
	counter
}

// listen opens the sockets, TCP and UDP, at one address. Without a port the system gives one, which may be free for one only.
func listen(ip net.IP, port int, routes map[string]string, l *log.Logger) (t *routed, err error) {
	for range 10 {
		var n *memberlist.NetTransport
		n, err = memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{ip.String()}, BindPort: port, Logger: l})
		if err == nil {
			return &routed{NetTransport: n, routes: routes}, nil
		}
		if port != 0 {
			break
		}
	}
	return nil, err
}

func (t *routed) route(a memberlist.Address) memberlist.Address {
	if name, _, err := parted(a.Name); err == nil {
		if to, ok := t.routes[name]; ok {
			a.Addr = to
		}
	}
	return a
}

// WriteToAddress sends a packet.
func (t *routed) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	t.packets.Add(1)
	t.packetBytes.Add(uint64(len(b)))
	return t.NetTransport.WriteToAddress(b, t.route(a))
}

// DialAddressTimeout opens a stream.
func (t *routed) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	conn, err := t.NetTransport.DialAddressTimeout(t.route(a), timeout)
	if err != nil {
		return nil, err
	}
	t.streams.Add(1)
	return counted{conn, &t.counter}, nil
}
