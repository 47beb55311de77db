// Package relay carries the control tier of the fleet over HTTP: Server is one relay process, which holds what is shared by all and
// tells it to whom follows, Client the session of one who follows, a mixer or another relay. What is told, to whom and when is
// decided by internal/fleet/control; here are sockets, clocks, time-outs and bounds.
//
// Each goroutine has an owner that waits for it: Client.Run for its sessions' readers and its tellings, Server.Run for the
// listeners, the sessions and the clients that follow the other relays. No lock is held over I/O, and none over Apply.
package relay

import (
	"net"
	"time"

	"nettlefold/internal/fleet/control"
)

// Paths and headers of a relay.
const (
	pathRows     = "/control/rows"
	pathSelf     = "/control/self"
	pathWords    = "/control/words"
	PathStatus   = "/control/status"
	PathVersions = "/control/versions"

	headerLife     = "X-Control-Life"    // the relay's, hex
	headerSession  = "X-Control-Session" // the relay's number of it, for the goodbye
	headerBye      = "X-Bye"             // 1: the mixer leaves
	HeaderAfter    = "X-After"           // EPOCH.NUMBER: give only if that is the newest
	HeaderNewEpoch = "X-New-Epoch"       // yes: begin a new epoch

	tableSelf = "self" // under which a mixer's telling is framed
	asMixer   = "mixer"
	asRelay   = "relay"
)

const (
	mostAfter = 10 * time.Minute // a relay's Retry-After counts for so long at most
	mostName  = 64               // bytes of a name, region or zone
	mostFrame = 64               // bytes of a frame around a table's
)

// beatAfter is how long a session says nothing before its empty line. That is due each beat and breaks a session an eighth of a beat
// later, which a relay on a busy machine, or a long line to it, would miss: so it goes out a quarter of a beat early.
const beatAfter = time.Duration(control.Beat * 3 / 4)

// usual are a follower's times. A relay that falls silent is left for the next one after silence and a part of the window.
var usual = times{
	dial:    2 * time.Second,
	first:   2 * time.Second,
	silence: time.Duration(control.Beat + control.Beat/8),
	whole:   5 * time.Second,
	tell:    2 * time.Second,
	bye:     250 * time.Millisecond,
	kept:    10 * time.Second,
	room:    16 << 10, // what waits longer the relay has not told, and then tells as it is by then
}

// plain dials without keep-alive probes: a session has its own sign of life.
var plain = (&net.Dialer{KeepAlive: -1}).DialContext
