// Package roster knows which processes of the fleet are there: who has come, who does not answer, who is cut off and who has said
// goodbye. Who is alive is found out by github.com/hashicorp/memberlist (SWIM, by gossip over UDP and TCP), and what others put
// together of their own rides on its exchanges. It is the one package of the fleet that does network I/O.
package roster

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"log"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Exchange is what rides on the roster's exchanges: a state that joins. Both are called from several goroutines.
type Exchange interface {
	Offer(most int) []byte                // what to tell, of at most so many bytes
	Take(from string, state []byte) error // what another offered or said; it may come late, twice and in any order
}

// Beat is that of pings, where the options do not say another.
const Beat = 250 * time.Millisecond

// Options say how to take part.
type Options struct {
	Self        Life              // Life is drawn where it is 0, Since taken from the clock
	Listen      string            // host and port, for TCP and UDP
	Advertise   string            // where others reach this process, "": at Listen
	Join        []string          // addresses of others, of whom one at least is usually there
	Routes      map[string]string // by the name of a mixer: where it is reached instead of where it says
	Group       string            // others of another group are not talked to
	Key         []byte            // of 16, 24 or 32 bytes; nil: plain. Who has another key is not talked to
	Others      [][]byte          // keys that are taken too, while the key is changed
	Exchange    Exchange          // nil: only the roster itself is exchanged
	Log         *slog.Logger
	Forget      time.Duration // after which one who is cut off is forgotten; 0: an hour
	MostMembers int           // 0: 1,024
	MostState   int           // bytes of Exchange's state; 0: 256 KiB
	Beat        time.Duration // of pings; 0: that of Beat
}

// Roster takes part in the fleet.
type Roster struct {
	self      Life
	ml        *memberlist.Memberlist
	transport *routed
	log       *slog.Logger
	exchange  Exchange
	began     time.Time
	beat      time.Duration
	address   string
	join      []string
	lookup    *net.Resolver

	most, mostState int

	queue  *memberlist.TransmitLimitedQueue
	seen   seen
	inbox  chan news
	settle chan struct{}

	end   sync.Mutex // of leaving and closing
	ended bool

	mu       sync.Mutex
	ledger   *ledger
	term     uint32
	said     uint64
	full     bool
	where    map[string]*net.UDPAddr // by node, of who is not gone: memberlist's own nodes may not be read beside its work
	watchers []chan struct{}
}

// Start listens. It joins nobody before Run.
func Start(o Options) (*Roster, error) {
	if s := o.Self; s.Name == "" || len(s.Name) > mostText || len(s.Site) > mostText || len(s.Build) > mostText {
		return nil, fmt.Errorf("name %.80q, site %.80q, build %.80q: want a name, and at most %d bytes of each",
			s.Name, s.Site, s.Build, mostText)
	}
	if o.Self.Life == 0 {
		var raw [8]byte
		crand.Read(raw[:]) // never fails
		o.Self.Life = binary.LittleEndian.Uint64(raw[:]) | 1
	}
	if o.Self.Since == 0 {
		o.Self.Since = time.Now().UnixNano()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	or := func(n, otherwise int) int {
		if n <= 0 {
			return otherwise
		}
		return n
	}
	r := &Roster{self: o.Self, log: o.Log, exchange: o.Exchange, began: time.Now(), join: o.Join, lookup: net.DefaultResolver,
		most: or(o.MostMembers, 1024), mostState: or(o.MostState, 256<<10),
		beat:  time.Duration(or(int(o.Beat), int(Beat))),
		inbox: make(chan news, mostQueue), settle: make(chan struct{}, 1), where: map[string]*net.UDPAddr{}}
	r.ledger = newLedger(o.Self, r.most, int64(or(int(o.Forget), int(time.Hour))))
	r.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: 3, NumNodes: r.living}

	ip, port, err := place(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %q: %w", o.Listen, err)
	}
	c := r.config(o)
	if c.Keyring, err = ring(o.Key, o.Others); err != nil {
		return nil, err
	}
	if o.Advertise != "" {
		at, port, err := place(o.Advertise)
		if err != nil {
			return nil, fmt.Errorf("advertise: %q: %w", o.Advertise, err)
		}
		c.AdvertiseAddr, c.AdvertisePort = at.String(), port
	}
	t, err := listen(ip, port, o.Routes, c.Logger)
	if err != nil {
		return nil, fmt.Errorf("listen: %q: %w", o.Listen, err)
	}
	c.Transport, r.transport = t, t
	c.BindAddr, c.BindPort = ip.String(), t.GetAutoBindPort()
	at, port, err := t.FinalAdvertiseAddr(c.AdvertiseAddr, c.AdvertisePort)
	if err != nil {
		t.Shutdown()
		return nil, err
	}
	r.address = net.JoinHostPort(at.String(), strconv.Itoa(port))
	if r.ml, err = memberlist.Create(c); err != nil {
		t.Shutdown()
		return nil, err
	}
	return r, nil
}

// config is memberlist's for a local net, with bounds of ours.
func (r *Roster) config(o Options) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	d := delegate{r}
	c.Name, c.Label = node(r.self), o.Group
	c.Delegate, c.Events, c.Alive, c.Ping = d, d, d, d
	c.ProbeInterval, c.ProbeTimeout = r.beat, r.beat*3/5
	c.GossipInterval, c.GossipNodes = r.beat/2, 3
	c.PushPullInterval = 4 * r.beat // memberlist stretches it beyond 32 members
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 3, 2
	c.GossipToTheDeadTime = 40 * r.beat
	c.TCPTimeout = 4 * r.beat
	c.EnableCompression = false // states are short or already tight
	c.RequireNodeNames = false
	c.DNSConfigPath = "" // names are looked up here, by the system's resolver
	c.Logger = log.New(quiet{r.log}, "", 0)
	return c
}

// quiet has memberlist's log among ours at debug.
type quiet struct{ log *slog.Logger }

func (q quiet) Write(p []byte) (int, error) {
	q.log.Debug("memberlist", "said", string(p[:max(0, len(p)-1)]))
	return len(p), nil
}

func ring(key []byte, others [][]byte) (*memberlist.Keyring, error) {
	if len(key) == 0 {
		return nil, nil
	}
	return memberlist.NewKeyring(others, key)
}

// place reads an address to listen on. A name is looked up: memberlist would take it for all addresses there are.
func place(address string) (net.IP, int, error) {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, 0, err
	}
	if a.IP == nil {
		return nil, 0, fmt.Errorf("address %q: no host", address)
	}
	return a.IP, a.Port, nil
}

// Self is this life.
func (r *Roster) Self() Life { return r.self }

// Address is where others reach this process.
func (r *Roster) Address() string { return r.address }

// Members are all lives known, this one too, by name, then life.
func (r *Roster) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.members()
}

// Now is the clock of Heard and At.
func (r *Roster) Now() int64 { return r.now() }

func (r *Roster) now() int64 { return int64(time.Since(r.began)) }

// Watch gives a channel that has something to read after a life has come or changed its state. Each call makes one, which lives
// as long as the roster.
func (r *Roster) Watch() <-chan struct{} {
	c := make(chan struct{}, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers = append(r.watchers, c)
	return c
}

func (r *Roster) living() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.living()
}

// step hands an event to the ledger and tells what came of it.
func (r *Roster) step(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed(r.ledger.step(r.now(), e))
}

func (r *Roster) changed(all []change) {
	for _, c := range all {
		if c.State == Gone {
			delete(r.where, node(c.Life))
		}
		what := []any{"member", c.Name, "life", strconv.FormatUint(c.Life.Life, 16), "site", c.Site, "state", c.State.String()}
		switch {
		case c.conflict || c.Life.Life == r.self.Life && c.State == Gone && c.was != Gone:
			r.log.Error("two processes run by one name, and the newer counts", what...)
		case c.State == c.was && !c.fresh:
			continue // dropped from memory
		case c.State == Gone:
			r.log.Info("a member is gone", append(what, "why", c.Why.String())...)
		case c.Life.Life == r.self.Life:
		case c.State == Doubted || c.was == Doubted && c.State == Here:
			r.log.Debug("a member's state", what...) // a lost packet or two
		default:
			r.log.Info("a member's state", what...)
		}
	}
	if len(all) == 0 {
		return
	}
	for _, w := range r.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// meet takes the fleet's word that somebody is alive, and where.
func (r *Roster) meet(who Life, term uint32, at *net.UDPAddr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.ledger.step(r.now(), event{what: met, life: who, term: term})
	if i, ok := r.ledger.find(who); ok && r.ledger.rows[i].State != Gone {
		r.where[node(who)] = at
	}
	r.changed(all)
}

// Say tells everybody something small soon, by gossip; each takes it once, or not at all where packets are lost. Longer than
// MostNews is refused.
func (r *Roster) Say(what []byte) error {
	if len(what) == 0 || len(what) > MostNews {
		return fmt.Errorf("news of %d bytes, want 1 to %d", len(what), MostNews)
	}
	r.say(news{What: what})
	return nil
}

func (r *Roster) say(n news) []byte {
	r.mu.Lock()
	r.said++
	n.Name, n.Life, n.Number = r.self.Name, r.self.Life, r.said
	r.mu.Unlock()
	raw := encoded(n)
	r.spread(raw)
	return raw
}

// spread puts news in the queue. Where it is too long, what has been told most often is left out.
func (r *Roster) spread(raw []byte) {
	r.queue.QueueBroadcast(broadcast(raw))
	r.queue.Prune(mostQueue)
}

type broadcast []byte

func (b broadcast) Invalidates(memberlist.Broadcast) bool { return false }
func (b broadcast) Message() []byte                       { return b }
func (b broadcast) Finished()                             {}
func (b broadcast) UniqueBroadcast()                      {}

// Close ends without a goodbye, as a crash would. Run does it after its own.
func (r *Roster) Close() error {
	r.end.Lock()
	defer r.end.Unlock()
	r.ended = true
	return r.ml.Shutdown()
}

// Run takes part until the context ends, and then says goodbye.
func (r *Roster) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.seek(ctx) })
	wg.Go(func() { r.ping(ctx) })
	wg.Go(func() { r.take(ctx) })
	<-ctx.Done()
	r.leave() // before a try to join has ended, which may take a second or two
	wg.Wait()
	r.Close()
}
