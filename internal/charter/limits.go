package charter

import (
	"time"

	"nettlefold/mixer"
)

// Limits are the sizes, counts and times the real mixer keeps to. They come from the platform or the settings
// where these state them; the rest are bounds for safety that no sound peer meets.
type Limits struct {
	// The platform's.
	Cores   float64
	Memory  int64 // bytes
	Sockets int   // descriptors

	// The settings'.
	Slices    int           // shards there are
	Open      int           // lookups and parts open from which on no lookup is let in
	Streams   int           // parts out on one connection
	Connect   time.Duration // for a connection to come up
	KeepAlive time.Duration // after which a searcher closes an idle connection
	Patience  time.Duration // the longest of any tariff

	// PROTOCOL's.
	Body      int           // bytes of a client's request
	Beat      time.Duration // between the empty lines of a silent watch
	Arrivals  time.Duration // how long new connections still come after SIGTERM
	Taken     time.Duration // after SIGTERM, up to which requests are let in that need not be answered before SIGKILL
	KillAfter time.Duration // after SIGTERM, before SIGKILL may come

	// Bounds for safety.
	Header    int           // bytes of a client's header
	Read      time.Duration // for a client's whole request, from its connection's start if it is the first
	Prompt    time.Duration // in which a sound client's request comes whole; longer ones are the first to lose their place
	Once      time.Duration // in which a client that has asked once asks again
	Kept      time.Duration // in which one that has asked more often does
	Drain     time.Duration // for what still comes on a client's connection that we have ended, or for its close
	Write     time.Duration // for an answer, or for one frame
	Rest      time.Duration // for a searcher's frame that has begun to come, as long as a connection may take
	Frame     int           // bytes of a searcher's frame
	Line      int           // bytes of one message of the list
	First     time.Duration // a start waits for discovery's first answer
	Ready     time.Duration // after its start a process is ready without a live searcher too: what discovery has counts as told by then
	WatchLast time.Duration // longest wait before the watch is tried again; the agent is on this machine, asking is free
	ID        int           // bytes of a lookup's id
}

// Limits gives the settings' limits, with PROTOCOL's and the bounds for safety. The charter is that of the same terms.
func (t Terms) Limits(c mixer.Config) (Limits, error) {
	s := &reader{all: t}
	l := Limits{
		Slices:    s.count("FamilyInfo.Slabs", true, 1),
		Open:      s.count("PolicyLimits.MaxOpen", true, 1),
		Streams:   s.count("PolicyLimits.MaxStreams", true, 1),
		Connect:   time.Duration(s.ms("PolicyLimits.ConnectTimeoutMs", true)),
		KeepAlive: time.Duration(s.ms("PolicyLimits.KeepaliveMs", true)),
		Body:      64 << 10,
		Beat:      2 * time.Second,
		Arrivals:  400 * time.Millisecond,
		Taken:     700 * time.Millisecond,
		Header:    16 << 10,
		Read:      2 * time.Second,
		Prompt:    250 * time.Millisecond,
		Once:      4 * time.Second,
		Kept:      time.Minute,
		Drain:     250 * time.Millisecond,
		Write:     5 * time.Second,
		Frame:     64 << 10,
		Line:      8 << 20,
		First:     500 * time.Millisecond,
		Ready:     6 * time.Second,
		WatchLast: time.Second,
		ID:        64,
	}
	l.Rest = l.Connect
	for _, tariff := range c.Tariffs {
		l.Patience = max(l.Patience, time.Duration(tariff.Patience))
	}
	l.KillAfter = min(l.Patience, 3*time.Second) + l.Taken
	return l, s.err()
}

// Idle is how long a connection to a searcher may lie idle: it is closed well before the searcher would.
func (l Limits) Idle() time.Duration { return l.KeepAlive - l.KeepAlive/8 }

// Sweep is how often idle connections are looked for.
func (l Limits) Sweep() time.Duration { return max(l.KeepAlive/32, time.Millisecond) }

// spare are the descriptors kept for the runtime, the log, the listener and the list.
const spare = 32

// Conns is how many connections to searchers there may be.
func (l Limits) Conns() int { return max(1, (l.Sockets-spare)/2) }

// Clients is how many connections of clients there may be.
func (l Limits) Clients() int { return max(1, l.Sockets-spare-l.Conns()) }

// Staying is how many connections of clients there may be while some lie idle. The platform lets clients hold a third of
// the descriptors, and one that stays for nothing must not be in the way of another's first request.
func (l Limits) Staying() int { return min(max(1, l.Sockets/4), l.Clients()) }

// Silence is how long a watch may be silent: an empty line comes each beat. One that is silent for longer is broken, and what
// it misses counts as told three beats after it fell silent.
func (l Limits) Silence() time.Duration { return l.Beat + l.Beat/8 }

// Asked is how long discovery may take for its first word once asked, after it has been silent for so long. The agent is on
// this machine and replies at once, and one that is silent is silent for good on what it was asked then. Much longer
// silence is given longer, in case the agent is slow and not away, but not so long that three calls in vain take 6 s.
func (l Limits) Asked(silent time.Duration) time.Duration {
	return max(l.Read/10, min(silent/32, l.Silence()/4))
}

// Whole is how long a message of the list may take to come whole before a whole list is asked for beside it. A silent watch and two
// that drip behind it are over within 6 s.
func (l Limits) Whole() time.Duration { return l.Read/2 + l.Read/16 }

// Linger is how long after SIGTERM clients are served as before: longer than new connections come, and as long as
// what is taken has all its time before SIGKILL.
func (l Limits) Linger() time.Duration { return l.Taken - l.Arrivals/8 }

// Leave is how long after SIGTERM lookups may still be answered, somewhat before SIGKILL may come.
func (l Limits) Leave() time.Duration { return l.KillAfter - l.Arrivals/2 }
