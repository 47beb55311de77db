package capacity

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-msgpack/v2/codec"
)

// A hub stands for many members towards one real roster: all have its address. It speaks as much of memberlist's protocol as that
// takes, in plain: it hands over their states, answers their pings, and counts what it is told of whom. So one mixer's cost among
// thousands is measured without thousands of processes; left out are what the others would tell by themselves and how long
// news take to come round.

// Messages of memberlist's protocol.
const (
	pingMessage     = 0
	ackMessage      = 2
	aliveMessage    = 4
	deadMessage     = 5
	pushPullMessage = 6
	compoundMessage = 7
	newsMessage     = 8
	crcMessage      = 12
)

type pushPullHeader struct {
	Nodes        int
	UserStateLen int
	Join         bool
}

type nodeState struct {
	Name        string
	Addr        []byte
	Port        uint16
	Meta        []byte
	Incarnation uint32
	State       int
	Vsn         []uint8
}

type aliveNode struct {
	Incarnation uint32
	Node        string
	Addr        []byte
	Port        uint16
	Meta        []byte
	Vsn         []uint8
}

type deadNode struct {
	Incarnation uint32
	Node        string
	From        string
}

type pingNode struct {
	SeqNo      uint32
	Node       string
	SourceAddr []byte `codec:",omitempty"`
	SourcePort uint16 `codec:",omitempty"`
}

type ackNode struct {
	SeqNo   uint32
	Payload []byte
}

// lifeMeta, lifeRest, lifeExchange and lifeNews are what the roster puts into memberlist's messages.
type lifeMeta struct {
	_     struct{} `cbor:",toarray"`
	Site  string
	Build string
	Since int64
	Term  uint32
}

type lifeRest struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Life uint64
	Meta lifeMeta
	Bye  bool
	Age  int64
}

type lifeExchange struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Life  uint64
	Rest  []lifeRest
	State []byte
}

type lifeNews struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Life   uint64
	Number uint64
	Bye    bool
	What   []byte
}

func packed(to *bytes.Buffer, v any) {
	if err := codec.NewEncoder(to, &codec.MsgpackHandle{}).Encode(v); err != nil {
		panic(err) // numbers and bytes only
	}
}

func message(kind byte, v any) []byte {
	b := bytes.NewBuffer([]byte{kind})
	packed(b, v)
	return b.Bytes()
}

// heardOf counts messages of one kind that the hub was sent.
type heardOf struct{ messages, bytes int }

type hub struct {
	listener net.Listener
	packets  *net.UDPConn
	answers  []byte // the states of all, what a push is answered by
	wg       sync.WaitGroup

	mu      sync.Mutex
	heard   map[byte]heardOf // by kind
	all     heardOf          // packets
	last    time.Time        // when one came of another kind than ping and ack
	streams int
}

// newHub listens.
func newHub() (*hub, error) {
	for range 10 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		at := l.Addr().(*net.TCPAddr)
		p, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
		if err != nil {
			l.Close() // the port is free for one of the two only
			continue
		}
		p.SetReadBuffer(4 << 20)
		h := &hub{listener: l, packets: p, heard: map[byte]heardOf{}, last: time.Now()}
		h.wg.Go(h.hear)
		h.wg.Go(h.accept)
		return h, nil
	}
	return nil, errors.New("no port is free for TCP and UDP")
}

func (h *hub) close() {
	h.listener.Close()
	h.packets.Close()
	h.wg.Wait()
}

func (h *hub) port() uint16 { return uint16(h.listener.Addr().(*net.TCPAddr).Port) }

var loopback = net.IPv4(127, 0, 0, 1).To4()

var versions = []uint8{1, 5, 2, 0, 0, 0}

// node is a life's name in memberlist.
func node(i int) string { return fmt.Sprintf("mixer-%05d@%016x", i, numbered(i, "").Life) }

func metaOf(i int) []byte {
	l := numbered(i, wards[i%len(wards)])
	raw, err := cbor.Marshal(lifeMeta{Site: l.Site, Build: l.Build, Since: l.Since, Term: 1})
	if err != nil {
		panic(err)
	}
	return raw
}

// states gives a push of so many members, and what rides on it.
func (h *hub) states(members int, rider []byte) []byte {
	b := bytes.NewBuffer([]byte{pushPullMessage})
	packed(b, pushPullHeader{Nodes: members, UserStateLen: len(rider)})
	for i := range members {
		packed(b, nodeState{Name: node(i), Addr: loopback, Port: h.port(), Meta: metaOf(i), Incarnation: 1, Vsn: versions})
	}
	b.Write(rider)
	return b.Bytes()
}

// hearsay gives what rides on a push of one who knows that so many lives have said goodbye.
func hearsay(lives int) []byte {
	x := lifeExchange{Name: "another", Life: 1}
	for i := range lives {
		l := numbered(1<<20+i, wards[i%len(wards)])
		x.Rest = append(x.Rest, lifeRest{Name: l.Name, Life: l.Life, Bye: true, Age: int64(time.Minute),
			Meta: lifeMeta{Site: l.Site, Build: l.Build, Since: l.Since, Term: 1}})
	}
	raw, err := cbor.Marshal(x)
	if err != nil {
		panic(err) // numbers and text only
	}
	return raw
}

// exchange pushes the hub's states to a roster, and gives how many bytes it pulls and of how many members.
func (h *hub) exchange(address string, push []byte) (pulled, members int, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	if _, err := c.Write(push); err != nil {
		return 0, 0, err
	}
	counts := &countingReader{of: c}
	if members, err = readPush(counts); err != nil {
		return 0, 0, err
	}
	_, err = io.Copy(io.Discard, counts) // the other ends the stream once it has taken ours
	return counts.n, members, err
}

type countingReader struct {
	of io.Reader
	n  int
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.of.Read(b)
	c.n += n
	return n, err
}

// readPush reads a push whole, and gives how many members it tells of.
func readPush(from io.Reader) (members int, err error) {
	r := bufio.NewReader(from)
	if kind, err := r.ReadByte(); err != nil || kind != pushPullMessage {
		return 0, fmt.Errorf("message %d is no push: %v", kind, err)
	}
	dec := codec.NewDecoder(r, &codec.MsgpackHandle{})
	var head pushPullHeader
	if err := dec.Decode(&head); err != nil {
		return 0, err
	}
	for range head.Nodes {
		var n nodeState
		if err := dec.Decode(&n); err != nil {
			return 0, err
		}
	}
	_, err = io.CopyN(io.Discard, r, int64(head.UserStateLen))
	return head.Nodes, err
}

// accept answers pushes.
func (h *hub) accept() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.wg.Go(func() {
			defer c.Close()
			c.SetDeadline(time.Now().Add(10 * time.Second))
			if _, err := readPush(c); err != nil {
				return // a ping by TCP, or the end
			}
			h.mu.Lock()
			h.streams++
			answer := h.answers
			h.mu.Unlock()
			c.Write(answer)
		})
	}
}

// hear takes packets until the end, answers pings, and counts messages by kind.
func (h *hub) hear() {
	buf := make([]byte, 65536)
	for {
		n, from, err := h.packets.ReadFromUDP(buf)
		if err != nil {
			return
		}
		h.mu.Lock()
		h.all.messages++
		h.all.bytes += n
		h.mu.Unlock()
		h.take(buf[:n], from)
	}
}

func (h *hub) take(b []byte, from *net.UDPAddr) {
	if len(b) > 5 && b[0] == crcMessage {
		b = b[5:]
	}
	if len(b) < 2 {
		return
	}
	if b[0] == compoundMessage {
		parts := int(b[1])
		sizes, rest := b[2:], b[min(len(b), 2+2*parts):]
		for i := range parts {
			size := int(binary.BigEndian.Uint16(sizes[2*i:]))
			if size > len(rest) {
				return
			}
			h.take(rest[:size], from)
			rest = rest[size:]
		}
		return
	}
	h.mu.Lock()
	k := h.heard[b[0]]
	h.heard[b[0]] = heardOf{k.messages + 1, k.bytes + len(b)}
	if b[0] > ackMessage {
		h.last = time.Now()
	}
	h.mu.Unlock()
	var p pingNode
	if b[0] == pingMessage && codec.NewDecoderBytes(b[1:], &codec.MsgpackHandle{}).Decode(&p) == nil {
		h.packets.WriteToUDP(message(ackMessage, ackNode{SeqNo: p.SeqNo}), from)
	}
}

// counted gives what came of a kind.
func (h *hub) counted(kind byte) heardOf {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heard[kind]
}

// quiet waits until nothing was told for a time, and tells whether that came within the bound.
func (h *hub) quiet(still, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(still / 8) {
		h.mu.Lock()
		since := time.Since(h.last)
		h.mu.Unlock()
		if since > still {
			return true
		}
	}
	return false
}

// tell sends one message to a roster.
func (h *hub) tell(to *net.UDPAddr, raw []byte) error {
	_, err := h.packets.WriteToUDP(raw, to)
	return err
}
