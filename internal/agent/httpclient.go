package agent

import (
	"context"
	"net"
	"net/http"
)

// newWeb makes the client of backends and of the platform. It follows no redirection: an order must reach the backend that it is meant
// for, or none. A connection that is given up is reset, so that what a cut holds up of it is lost: an order must not arrive after the lease
// that it was given under, when another holder has given a newer one.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true, DialContext: dialWithReset},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dialResetting makes a connection whose close drops what was not sent yet.
func dialWithReset(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return nil, err
		}
	}
	return conn, nil
}
