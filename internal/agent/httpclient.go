package agent

import (
	"context"
	"net"
	"net/http"
)

// maxResponseHeaderBytes bounds the head of a response.
const maxResponseHeaderBytes = 64 << 10

// newHTTPClient returns the client for backends and the platform. It follows no redirects: a load
// order must reach the backend that it is meant for, or none. An abandoned connection is reset, so
// that data that is held up by a network partition is lost: an order must not arrive after the
// lease that it was sent under, when another holder has sent a newer one.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 2, DisableCompression: true, DialContext: dialWithReset, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dialWithReset opens a connection that discards unsent data when it is closed.
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
