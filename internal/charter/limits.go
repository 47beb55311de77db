package charter

import (
	"time"

	"nettlefold/mixer"
)

// Limits are the sizes, counts and times the real mixer keeps to. They come from the platform or the settings
// where these state them; the rest are bounds for safety that no sound peer meets.
type Limits struct {
	// The platform's.
	CPUCores   float64
	MemoryBytes  int64 // bytes
	FileDescriptors int   // descriptors

	// The settings'.
	Shards    int           // shards there are
	MaxOpenRequests      int           // lookups and parts open from which on no lookup is let in
	MaxStreamsPerConn   int           // parts out on one connection
	ConnectTimeout   time.Duration // for a connection to come up
	KeepAliveTimeout time.Duration // after which a searcher closes an idle connection
	MaxDeadline  time.Duration // the longest of any tariff

	// PROTOCOL's.
	MaxBodyBytes      int           // bytes of a client's request
	HeartbeatInterval      time.Duration // between the empty lines of a silent watch
	ConnectAfterTerm  time.Duration // how long new connections still come after SIGTERM
	AdmitAfterTerm     time.Duration // after SIGTERM, up to which requests are let in that need not be answered before SIGKILL
	KillAfterTerm time.Duration // after SIGTERM, before SIGKILL may come

	// Bounds for safety.
	MaxHeaderBytes    int           // bytes of a client's header
	ReadTimeout      time.Duration // for a client's whole request, from its connection's start if it is the first
	SlowRequestAfter    time.Duration // in which a sound client's request comes whole; longer ones are the first to lose their place
	SingleRequestIdle      time.Duration // in which a client that has asked once asks again
	ReusedIdle      time.Duration // in which one that has asked more often does
	CloseTimeout     time.Duration // for what still comes on a client's connection that we have ended, or for its close
	WriteTimeout     time.Duration // for an answer, or for one frame
	FrameReadTimeout      time.Duration // for a searcher's frame that has begun to come, as long as a connection may take
	MaxFrameBytes     int           // bytes of a searcher's frame
	MaxListMessageBytes      int           // bytes of one message of the list
	FirstListTimeout     time.Duration // a start waits for discovery's first answer
	ReadyTimeout     time.Duration // after its start a process is ready without a live searcher too: what discovery has counts as told by then
	MaxWatchBackoff time.Duration // longest wait before the watch is tried again; the agent is on this machine, asking is free
	MaxIDBytes        int           // bytes of a lookup's id
}

// Limits gives the settings' limits, with PROTOCOL's and the bounds for safety. The charter is that of the same terms.
func (t Settings) Limits(c mixer.Charter) (Limits, error) {
	s := &settingReader{settings: t}
	l := Limits{
		Shards:    s.integer("FamilyInfo.Slabs", true, 1),
		MaxOpenRequests:      s.integer("PolicyLimits.MaxOpen", true, 1),
		MaxStreamsPerConn:   s.integer("PolicyLimits.MaxStreams", true, 1),
		ConnectTimeout:   time.Duration(s.nanos("PolicyLimits.ConnectTimeoutMs", true)),
		KeepAliveTimeout: time.Duration(s.nanos("PolicyLimits.KeepaliveMs", true)),
		MaxBodyBytes:      64 << 10,
		HeartbeatInterval:      2 * time.Second,
		ConnectAfterTerm:  400 * time.Millisecond,
		AdmitAfterTerm:     700 * time.Millisecond,
		MaxHeaderBytes:    16 << 10,
		ReadTimeout:      2 * time.Second,
		SlowRequestAfter:    250 * time.Millisecond,
		SingleRequestIdle:      4 * time.Second,
		ReusedIdle:      time.Minute,
		CloseTimeout:     250 * time.Millisecond,
		WriteTimeout:     5 * time.Second,
		MaxFrameBytes:     64 << 10,
		MaxListMessageBytes:      8 << 20,
		FirstListTimeout:     500 * time.Millisecond,
		ReadyTimeout:     6 * time.Second,
		MaxWatchBackoff: time.Second,
		MaxIDBytes:        64,
	}
	l.FrameReadTimeout = l.ConnectTimeout
	for _, tariff := range c.Tariffs {
		l.MaxDeadline = max(l.MaxDeadline, time.Duration(tariff.Patience))
	}
	l.KillAfterTerm = min(l.MaxDeadline, 3*time.Second) + l.AdmitAfterTerm
	return l, s.err()
}

// Idle is how long a connection to a searcher may lie idle: it is closed well before the searcher would.
func (l Limits) IdleTimeout() time.Duration { return l.KeepAliveTimeout - l.KeepAliveTimeout/8 }

// Sweep is how often idle connections are looked for.
func (l Limits) IdleSweepInterval() time.Duration { return max(l.KeepAliveTimeout/32, time.Millisecond) }

// spare are the descriptors kept for the runtime, the log, the listener and the list.
const reservedDescriptors = 32

// Conns is how many connections to searchers there may be.
func (l Limits) MaxBackendConns() int { return max(1, (l.FileDescriptors-reservedDescriptors)/2) }

// Clients is how many connections of clients there may be.
func (l Limits) MaxClientConns() int { return max(1, l.FileDescriptors-reservedDescriptors-l.MaxBackendConns()) }

// Staying is how many connections of clients there may be while some lie idle. The platform lets clients hold a third of
// the descriptors, and one that stays for nothing must not be in the way of another's first request.
func (l Limits) ClientEvictionThreshold() int { return min(max(1, l.FileDescriptors/4), l.MaxClientConns()) }

// Silence is how long a watch may be silent: an empty line comes each beat. One that is silent for longer is broken, and what
// it misses counts as told three beats after it fell silent.
func (l Limits) MaxWatchSilence() time.Duration { return l.HeartbeatInterval + l.HeartbeatInterval/8 }

// Asked is how long discovery may take for its first word once asked, after it has been silent for so long. The agent is on
// this machine and replies at once, and one that is silent is silent for good on what it was asked then. Much longer
// silence is given longer, in case the agent is slow and not away, but not so long that three calls in vain take 6 s.
func (l Limits) FirstReplyTimeout(silent time.Duration) time.Duration {
	return max(l.ReadTimeout/10, min(silent/32, l.MaxWatchSilence()/4))
}

// Whole is how long a message of the list may take to come whole before a whole list is asked for beside it. A silent watch and two
// that drip behind it are over within 6 s.
func (l Limits) ListMessageTimeout() time.Duration { return l.ReadTimeout/2 + l.ReadTimeout/16 }

// Linger is how long after SIGTERM clients are served as before: longer than new connections come, and as long as
// what is taken has all its time before SIGKILL.
func (l Limits) ServeAfterTerm() time.Duration { return l.AdmitAfterTerm - l.ConnectAfterTerm/8 }

// Leave is how long after SIGTERM lookups may still be answered, somewhat before SIGKILL may come.
func (l Limits) AnswerAfterTerm() time.Duration { return l.KillAfterTerm - l.ConnectAfterTerm/2 }
