package charter

import (
	"time"

	"nettlefold/mixer"
)

// Limits are the sizes, counts and durations that the process around the mixer keeps to. They come from the
// platform or the settings where these state them; the rest are safety bounds that no correct peer reaches.
// The JSON names are those that the explain command and GET /settings print.
type Limits struct {
	// Set by the platform.
	CPUCores        float64 `json:"Cores"`
	MemoryBytes     int64   `json:"Memory"`
	FileDescriptors int     `json:"Sockets"`

	// Set by the settings.
	Shards            int           `json:"Slices"`    // number of shards
	MaxOpenRequests   int           `json:"Open"`      // number of open lookups plus parts at which no further lookup is admitted
	MaxStreamsPerConn int           `json:"Streams"`   // in-flight parts on one backend connection
	ConnectTimeout    time.Duration `json:"Connect"`   // for establishing a backend connection
	KeepAliveTimeout  time.Duration `json:"KeepAlive"` // idle time after which a backend closes a connection
	MaxDeadline       time.Duration `json:"Patience"`  // longest deadline of any request profile

	// Set by the PROTOCOL document of the platform. The durations ending in AfterTerm are counted from SIGTERM.
	MaxBodyBytes      int           `json:"Body"`      // of a client's request
	HeartbeatInterval time.Duration `json:"Beat"`      // between the empty lines on a watch without updates
	ConnectAfterTerm  time.Duration `json:"Arrivals"`  // latest arrival of a new client connection
	AdmitAfterTerm    time.Duration `json:"Taken"`     // latest admission whose deadline, cut to 3 s, still ends before SIGKILL
	KillAfterTerm     time.Duration `json:"KillAfter"` // earliest time of SIGKILL

	// Safety bounds.
	MaxHeaderBytes      int           `json:"Header"`    // of a client's request
	ReadTimeout         time.Duration `json:"Read"`      // for a client's whole request, the first from the start of its connection
	SlowRequestAfter    time.Duration `json:"Prompt"`    // longest time that a correct client takes for a request; slower connections are evicted first
	SingleRequestIdle   time.Duration `json:"Once"`      // longest idle time after the first request of a client connection
	ReusedIdle          time.Duration `json:"Kept"`      // longest idle time after a later request
	CloseTimeout        time.Duration `json:"Drain"`     // for the remaining input of a client connection ended here, or for its close
	WriteTimeout        time.Duration `json:"Write"`     // for a response, or for one frame
	FrameReadTimeout    time.Duration `json:"Rest"`      // for the rest of a backend's frame that has started to arrive; equals ConnectTimeout
	MaxFrameBytes       int           `json:"Frame"`     // of a backend's frame
	MaxListMessageBytes int           `json:"Line"`      // of one message of the membership list
	FirstListTimeout    time.Duration `json:"First"`     // longest wait at startup for the first reply of service discovery
	ReadyTimeout        time.Duration `json:"Ready"`     // from process start until ready without a live backend; discovery then assumes that this process has the list
	MaxWatchBackoff     time.Duration `json:"WatchLast"` // between attempts to open the watch; short, as calls to the local agent are cheap
	MaxIDBytes          int           `json:"ID"`        // of a lookup's ID
}

// Limits returns the limits that the settings state, together with the fixed ones. The configuration c
// must come from the same settings. The limits of the platform are left zero.
func (t Settings) Limits(c mixer.Config) (Limits, error) {
	s := &settingReader{settings: t}
	l := Limits{
		Shards:              s.integer("FamilyInfo.Slabs", true, 1),
		MaxOpenRequests:     s.integer("PolicyLimits.MaxOpen", true, 1),
		MaxStreamsPerConn:   s.integer("PolicyLimits.MaxStreams", true, 1),
		ConnectTimeout:      time.Duration(s.nanos("PolicyLimits.ConnectTimeoutMs", true)),
		KeepAliveTimeout:    time.Duration(s.nanos("PolicyLimits.KeepaliveMs", true)),
		MaxBodyBytes:        64 << 10,
		HeartbeatInterval:   2 * time.Second,
		ConnectAfterTerm:    400 * time.Millisecond,
		AdmitAfterTerm:      700 * time.Millisecond,
		MaxHeaderBytes:      16 << 10,
		ReadTimeout:         2 * time.Second,
		SlowRequestAfter:    250 * time.Millisecond,
		SingleRequestIdle:   4 * time.Second,
		ReusedIdle:          time.Minute,
		CloseTimeout:        250 * time.Millisecond,
		WriteTimeout:        5 * time.Second,
		MaxFrameBytes:       64 << 10,
		MaxListMessageBytes: 8 << 20,
		FirstListTimeout:    500 * time.Millisecond,
		ReadyTimeout:        6 * time.Second,
		MaxWatchBackoff:     time.Second,
		MaxIDBytes:          64,
	}
	l.FrameReadTimeout = l.ConnectTimeout
	for _, profile := range c.Tariffs {
		l.MaxDeadline = max(l.MaxDeadline, time.Duration(profile.Patience))
	}
	l.KillAfterTerm = min(l.MaxDeadline, 3*time.Second) + l.AdmitAfterTerm
	return l, s.err()
}

// IdleTimeout returns how long a backend connection may be idle before it is closed here, which is well
// before the backend would close it.
func (l Limits) IdleTimeout() time.Duration { return l.KeepAliveTimeout - l.KeepAliveTimeout/8 }

// IdleSweepInterval returns the interval between checks for idle backend connections.
func (l Limits) IdleSweepInterval() time.Duration {
	return max(l.KeepAliveTimeout/32, time.Millisecond)
}

// reservedDescriptors is the number of file descriptors reserved for the runtime, the log, the listener and
// the membership watch.
const reservedDescriptors = 32

// MaxBackendConns returns the maximum number of connections to backends.
func (l Limits) MaxBackendConns() int { return max(1, (l.FileDescriptors-reservedDescriptors)/2) }

// MaxClientConns returns the maximum number of client connections.
func (l Limits) MaxClientConns() int {
	return max(1, l.FileDescriptors-reservedDescriptors-l.MaxBackendConns())
}

// ClientEvictionThreshold returns the number of client connections from which on a new one evicts an idle
// one. The platform lets clients hold a third of the descriptors. Eviction starts below that, at a quarter, so
// that idle connections don't keep out the first request of another client.
func (l Limits) ClientEvictionThreshold() int {
	return min(max(1, l.FileDescriptors/4), l.MaxClientConns())
}

// MaxWatchSilence returns how long a watch may send nothing before it counts as broken. An empty line comes
// every heartbeat interval. Service discovery assumes that updates which a broken watch misses have arrived
// within three heartbeat intervals of its last line.
func (l Limits) MaxWatchSilence() time.Duration {
	return l.HeartbeatInterval + l.HeartbeatInterval/8
}

// FirstReplyTimeout returns how long service discovery may take to send the first byte of a reply, given how
// long it has been silent. The agent is on this machine and replies at once; one that does not reply will
// never reply to that call. A much longer silence is given more time, in case the agent is slow rather than
// gone, but so little that three failed calls take less than 6 s.
func (l Limits) FirstReplyTimeout(silent time.Duration) time.Duration {
	return max(l.ReadTimeout/10, min(silent/32, l.MaxWatchSilence()/4))
}

// ListMessageTimeout returns how long a message of the membership list may take to arrive completely before a
// full list is requested in parallel. It is so short that a silent watch and two slow ones after it take less
// than 6 s in all.
func (l Limits) ListMessageTimeout() time.Duration { return l.ReadTimeout/2 + l.ReadTimeout/16 }

// ServeAfterTerm returns how long after SIGTERM clients are served as before: longer than new connections
// arrive, and so short that each admitted request has its full deadline before SIGKILL. The margin to
// AdmitAfterTerm is an eighth of ConnectAfterTerm.
func (l Limits) ServeAfterTerm() time.Duration { return l.AdmitAfterTerm - l.ConnectAfterTerm/8 }

// AnswerAfterTerm returns how long after SIGTERM lookups may still be answered. The margin to the earliest
// SIGKILL is half of ConnectAfterTerm.
func (l Limits) AnswerAfterTerm() time.Duration { return l.KillAfterTerm - l.ConnectAfterTerm/2 }
