package rpc

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Handler serves one call or one-way message. Calls on a connection run concurrently; its one-way
// messages run one at a time in the order of arrival. The context is canceled when the connection
// ends. The result and error for a one-way message are ignored.
type Handler func(ctx context.Context, kind string, body []byte) (any, error)

// Serve accepts connections and serves their messages with handle until an Accept fails, and returns
// its error. A listener of package listen fails only when it is closed. Errors of a connection are not reported: the connection is
// closed, and the peer sees that.
func Serve(listener net.Listener, handle Handler) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		setTCPUserTimeout(conn)
		go serveConnection(conn, handle)
	}
}

// maxRunningCalls bounds the calls of a connection that run at the same time. Further ones wait in the connection.
const maxRunningCalls = 2048

func serveConnection(conn net.Conn, handle Handler) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer conn.Close()
	writeMutex := newContextMutex()
	reader := newFrameReader(conn)
	running := make(chan struct{}, maxRunningCalls)
	for {
		request, release, err := reader.next()
		if err != nil {
			return
		}
		if request.ID == 0 {
			handle(ctx, request.Kind, request.Body)
			release()
			continue
		}
		running <- struct{}{}
		go func() {
			defer func() { <-running }()
			defer release()
			reply := handleCall(ctx, handle, request)
			if writeMutex.lock(ctx) != nil {
				return
			}
			defer writeMutex.unlock()
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if writeFrame(conn, reply) != nil {
				conn.Close()
			}
		}()
	}
}

// handleCall runs the handler for one call and returns the reply, which holds either the encoded
// result or the error text.
func handleCall(ctx context.Context, handle Handler, request *envelope) *envelope {
	reply := &envelope{ID: request.ID, Reply: true}
	result, err := handle(ctx, request.Kind, request.Body)
	if err == nil && result != nil {
		reply.Body, err = cbor.Marshal(result)
	}
	if err != nil {
		reply.Body, reply.Error = nil, err.Error()
	}
	return reply
}
