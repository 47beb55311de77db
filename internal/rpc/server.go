package rpc

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Handler serves one call or one-way message. Calls run beside each other; one-way messages of a connection run in their order.
// The context ends when the caller's connection does. What it returns for a one-way message is dropped.
type Handler func(ctx context.Context, kind string, body []byte) (any, error)

// Serve accepts connections until the listener is closed.
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

func serveConnection(conn net.Conn, handle Handler) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer conn.Close()
	writing := newContextMutex()
	reader := bufio.NewReader(conn)
	for {
		e, err := readFrame(reader)
		if err != nil {
			return
		}
		if e.ID == 0 {
			handle(ctx, e.Kind, e.Body)
			continue
		}
		go func() {
			reply := handleCall(ctx, handle, e)
			if writing.lock(ctx) != nil {
				return
			}
			defer writing.unlock()
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if writeFrame(conn, reply) != nil {
				conn.Close()
			}
		}()
	}
}

func handleCall(ctx context.Context, handle Handler, e *envelope) *envelope {
	reply := &envelope{ID: e.ID, Reply: true}
	result, err := handle(ctx, e.Kind, e.Body)
	if err == nil && result != nil {
		reply.Body, err = cbor.Marshal(result)
	}
	if err != nil {
		reply.Body, reply.Error = nil, err.Error()
	}
	return reply
}
