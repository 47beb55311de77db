package fleetdemo

import (
	"io"
	"net"
	"time"
)

// startBehindListeners starts a role while its addresses are held by listeners, as by its life before.
func (p *startPlay) startBehindListeners(role startRole) error {
	var held []io.Closer
	for _, addr := range role.addrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		held = append(held, listener)
	}
	return p.startBehind(role, held)
}

// startBehindConnections starts a role while outgoing connections have its addresses as their own.
func (p *startPlay) startBehindConnections(role startRole) error {
	sink, err := net.Listen("tcp", listAddr())
	if err != nil {
		return err
	}
	defer sink.Close()
	var held []io.Closer
	for _, addr := range role.addrs {
		local, err := net.ResolveTCPAddr("tcp", addr)
		if err != nil {
			return err
		}
		conn, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", listAddr())
		if err != nil {
			return err
		}
		conn.(*net.TCPConn).SetLinger(0) // so that the address is free at once
		held = append(held, conn)
	}
	return p.startBehind(role, held)
}

// startBehind starts a role and lets go of what holds its addresses a while later.
func (p *startPlay) startBehind(role startRole, held []io.Closer) error {
	s, err := p.start(role, nil)
	if err != nil {
		return err
	}
	ended := s.endsWithin(hindranceTime)
	for _, h := range held {
		h.Close()
	}
	if ended {
		return s.hasEnded()
	}
	return s.listensAndStops()
}

// stopBehindListeners ends a program that waits for its addresses.
func (p *startPlay) stopBehindListeners(role startRole) error {
	for _, addr := range role.addrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		defer listener.Close()
	}
	s, err := p.start(role, nil)
	if err != nil {
		return err
	}
	time.Sleep(hindranceTime)
	return s.stop()
}
