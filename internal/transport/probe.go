package transport

import (
	"bufio"
	"context"
	"net"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
)

// Probe asks a searcher whether it is there, on a connection of its own, which carries nothing else: no work is done for it,
// and no lookup's connection waits behind it. It tells whether the connection came up, and whether an answer came in time.
func Probe(ctx context.Context, address string, within time.Duration, lim charter.Limits) (up, answered bool) {
	d := net.Dialer{Timeout: min(lim.Connect, within), KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, false
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	nc.SetDeadline(time.Now().Add(within))
	if _, err := nc.Write(protocol.AppendFrame(nil, protocol.Probe, nil)); err != nil {
		return true, false
	}
	f, err := protocol.ReadFrame(bufio.NewReader(nc), lim.Frame)
	return true, err == nil && f.Letter == protocol.Probe && len(f.Rest) > 0 // "err" too: it is there
}
