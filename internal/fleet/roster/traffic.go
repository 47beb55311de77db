package roster

import (
	"net"
	"sync/atomic"
)

// Traffic counts what a roster put on the net: payload of UDP and TCP, without the headers of IP, and without retries below TCP.
// Each byte is counted by one roster only: a packet by who sent it, both ways of a stream by who opened it.
type Traffic struct {
	Packets, PacketBytes         uint64 // UDP, sent
	Streams, StreamOut, StreamIn uint64 // TCP: streams opened, bytes written and read on them
}

type counter struct {
	packets, packetBytes         atomic.Uint64
	streams, streamOut, streamIn atomic.Uint64
}

// Traffic gives what was sent up to now.
func (r *Roster) Traffic() Traffic {
	c := &r.transport.counter
	return Traffic{Packets: c.packets.Load(), PacketBytes: c.packetBytes.Load(), Streams: c.streams.Load(),
		StreamOut: c.streamOut.Load(), StreamIn: c.streamIn.Load()}
}

// counted is a stream whose bytes are counted.
type counted struct {
	net.Conn
	c *counter
}

func (s counted) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.c.streamIn.Add(uint64(n))
	return n, err
}

func (s counted) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.c.streamOut.Add(uint64(n))
	return n, err
}
