package rpc

import (
	"context"
	"sync"
	"time"
)

// Pool keeps one Client per peer, and an outbox per peer that queues one-way messages without
// blocking the caller. It is safe for concurrent use.
type Pool struct {
	network Network

	mu       sync.Mutex
	clients  map[string]*Client            // by address
	outboxes map[string]chan queuedMessage // by address
	done     chan struct{}                 // closed by Close
}

// queuedMessage is a queued one-way message: either already encoded, or a kind and message that are
// encoded when it is sent.
type queuedMessage struct {
	kind    string
	message any
	encoded EncodedMessage
}

// outboxCapacity is the number of messages that are queued for a peer. Further messages are dropped,
// as on a lossy link.
const outboxCapacity = 256

// NewPool returns an empty pool that connects over TCP.
func NewPool() *Pool { return NewPoolWithNetwork(TCP{}) }

// NewPoolWithNetwork returns an empty pool that connects over the given network.
func NewPoolWithNetwork(network Network) *Pool {
	return &Pool{
		network: network, clients: map[string]*Client{}, outboxes: map[string]chan queuedMessage{}, done: make(chan struct{}),
	}
}

// Client returns the client for the peer at addr, creating it if necessary.
func (p *Pool) Client(addr string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		c = newClient(p.network, addr)
		p.clients[addr] = c
	}
	return c
}

// Call calls the peer at addr, like Client.Call, and fails when the timeout expires.
func (p *Pool) Call(ctx context.Context, timeout time.Duration, addr, kind string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.Client(addr).Call(ctx, kind, request, reply)
}

// Post queues a one-way message for the peer at addr and returns immediately. Messages to one peer
// are sent in order. A message is dropped silently if the outbox is full or the peer is unreachable.
func (p *Pool) Post(addr, kind string, message any) {
	p.enqueue(addr, queuedMessage{kind: kind, message: message})
}

// PostEncoded queues an already encoded one-way message, like Post. A message that goes to many peers
// is thus encoded only once.
func (p *Pool) PostEncoded(addr string, message EncodedMessage) {
	p.enqueue(addr, queuedMessage{encoded: message})
}

func (p *Pool) enqueue(addr string, message queuedMessage) {
	p.mu.Lock()
	queue := p.outboxes[addr]
	if queue == nil {
		queue = make(chan queuedMessage, outboxCapacity)
		p.outboxes[addr] = queue
		go p.sendQueued(addr, queue)
	}
	p.mu.Unlock()
	select {
	case queue <- message:
	default:
	}
}

// sendQueued sends the messages of one outbox until the pool is closed. dialTimeout limits each send as a
// whole, with the dial if there is no connection.
func (p *Pool) sendQueued(addr string, queue chan queuedMessage) {
	client := p.Client(addr)
	for {
		select {
		case message := <-queue:
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			err := message.send(ctx, client)
			cancel()
			if err != nil {
				dropQueued(queue)
			}
		case <-p.done:
			return
		}
	}
}

// dropQueued drops all messages in the queue of an unreachable peer: they would be outdated by the
// time the peer can be reached again.
func dropQueued(queue chan queuedMessage) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// Retain closes and removes the clients of peers whose address isn't in addrs. Clients that have an
// outbox are kept, because the goroutine of the outbox uses them.
func (p *Pool) Retain(addrs map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		if !addrs[addr] && p.outboxes[addr] == nil {
			c.Close()
			delete(p.clients, addr)
		}
	}
}

// Close stops the outboxes and closes all clients. It must be called only once.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.done)
	for _, c := range p.clients {
		c.Close()
	}
}

func (m *queuedMessage) send(ctx context.Context, client *Client) error {
	if m.encoded != nil {
		return client.SendEncoded(ctx, m.encoded)
	}
	return client.Send(ctx, m.kind, m.message)
}
