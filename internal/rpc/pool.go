package rpc

import (
	"context"
	"sync"
	"time"
)

// Pool keeps a client for each peer, and an outbox for one-way messages that never blocks its caller.
type Pool struct {
	network Network

	mu       sync.Mutex
	clients  map[string]*Client
	outboxes map[string]chan queuedMessage
	done     chan struct{}
}

// outgoing is a one-way message that waits: encoded already, or to be.
type queuedMessage struct {
	kind    string
	message any
	encoded EncodedMessage
}

// outboxDepth bounds what waits for a peer that does not read; beyond it messages are dropped, as on a lossy link.
const outboxCapacity = 256

// NewPool makes an empty pool of TCP connections.
func NewPool() *Pool { return NewPoolWithNetwork(TCP{}) }

// NewPoolOn makes an empty pool of connections over a network.
func NewPoolWithNetwork(network Network) *Pool {
	return &Pool{network: network, clients: map[string]*Client{}, outboxes: map[string]chan queuedMessage{}, done: make(chan struct{})}
}

// Client gives the client of a peer.
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

// Call calls a peer with a time limit of its own.
func (p *Pool) Call(ctx context.Context, limit time.Duration, addr, kind string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return p.Client(addr).Call(ctx, kind, request, reply)
}

// Post queues a one-way message and returns at once. Messages to one peer are sent in order, some may be lost.
func (p *Pool) Post(addr, kind string, message any) {
	p.enqueue(addr, queuedMessage{kind: kind, message: message})
}

// PostEncoded queues a one-way message that goes to others too, as Post does.
func (p *Pool) PostEncoded(addr string, message EncodedMessage) {
	p.enqueue(addr, queuedMessage{encoded: message})
}

func (p *Pool) enqueue(addr string, o queuedMessage) {
	p.mu.Lock()
	queue := p.outboxes[addr]
	if queue == nil {
		queue = make(chan queuedMessage, outboxCapacity)
		p.outboxes[addr] = queue
		go p.sendQueued(addr, queue)
	}
	p.mu.Unlock()
	select {
	case queue <- o:
	default:
	}
}

func (p *Pool) sendQueued(addr string, queue chan queuedMessage) {
	client := p.Client(addr)
	for {
		select {
		case o := <-queue:
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			err := o.send(ctx, client)
			cancel()
			if err != nil {
				drainQueue(queue)
			}
		case <-p.done:
			return
		}
	}
}

// discard empties a queue whose peer cannot be reached: what waited is old by the time it can be.
func drainQueue(queue chan queuedMessage) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// Keep closes the clients and outboxes of peers that are not among addrs any more.
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

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.done)
	for _, c := range p.clients {
		c.Close()
	}
}

func (o *queuedMessage) send(ctx context.Context, client *Client) error {
	if o.encoded != nil {
		return client.SendEncoded(ctx, o.encoded)
	}
	return client.Send(ctx, o.kind, o.message)
}
