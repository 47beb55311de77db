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
	d := net.Dialer{Timeout: min(lim.ConnectTimeout, within), KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, false
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	return true, probed(nc, within, lim.MaxFrameBytes)
}

// probed asks on a connection, and tells whether an answer of at most so many bytes came in time.
func probed(nc net.Conn, within time.Duration, most int) bool {
	end := time.Now().Add(within)
	nc.SetDeadline(end)
	if _, err := nc.Write(protocol.AppendFrame(nil, protocol.ProbeFrame, nil)); err != nil {
		return false
	}
	f, err := protocol.ReadFrame(bufio.NewReader(nc), most)
	if err != nil || !time.Now().Before(end) { // a read may win over a deadline that has passed
		return false
	}
	return f.Type == protocol.ProbeFrame && len(f.Payload) > 0 // "err" too: it is there
}
