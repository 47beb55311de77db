package controller

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"nettlefold/internal/distribute"
	"nettlefold/internal/durable"
	"nettlefold/internal/rpc"
	"nettlefold/internal/tally"
	"nettlefold/internal/tallylog"
)

const (
	// contractTallies is the value in the contracts setting that enables tallies.
	contractTallies = "apart"
	// addsMemoryPercent is the part of a machine's memory that adds may use, and bytesPerAdd the
	// memory that one add uses.
	addsMemoryPercent = 35
	bytesPerAdd       = 80
	// logDiskPercent is the tally log's share of a machine's disk from which no more adds are
	// accepted: the control state needs the rest.
	logDiskPercent = 40
	// peerRefreshInterval is how often the peers are updated from the seeds and the view.
	peerRefreshInterval = 500 * time.Millisecond
)

// tallyService is this machine's replica of the tallies. One goroutine, the tally loop, owns the
// replica and executes queued commands; another one writes the log. The connections are separate
// from those of the control state, so that neither waits for the other.
type tallyService struct {
	log            zerolog.Logger
	startTime      time.Time
	pool           *rpc.Pool
	network        rpc.Network
	directory      string
	logOptions     tallylog.Options
	replicaOptions tally.Options
	maxLogBytes    int64 // log size from which no more adds are accepted, 0 for no limit
	commands       chan func()
	batches        chan *tally.Batch
	done           chan struct{}
	loaded         atomic.Bool   // the log is loaded; before that no command is accepted
	flushed        atomic.Bool   // this machine may be removed for good; see tally.Replica.Flushed
	unreplicated   atomic.Uint64 // adds that too few other machines have; set while this machine shuts down
	logBytes       atomic.Int64
	peers          func() tallyPeers
	tallyLog       *tallylog.Log // belongs to the writer goroutine

	// The fields below belong to the tally loop.
	replica          *tally.Replica
	witnesses        *witnessMemory
	leaving          bool
	pendingAdds      map[uint64]chan tally.Result
	lastToken        uint64
	peersRefreshedAt time.Duration             // since the start, 0 before the first refresh
	peerPresence     map[string]tally.Presence // by address, as last logged
}

// tallyPeers holds the addresses of the machines to merge with, and of agents, which show where these are.
type tallyPeers struct {
	seeds   []string
	members []string   // of the view in force
	agents  zoneAgents // with a session at any controller
}

// newTallies creates the tally service. The log file exists when it returns. The file is read only
// when the service runs, as a long one takes seconds and must not delay the control state.
func (c *Controller) newTallies() error {
	t := &tallyService{
		log: c.log, startTime: time.Now(), pool: rpc.NewPoolWithNetwork(c.network), network: c.network,
		directory:   c.settings.DataDirectory,
		maxLogBytes: int64(c.settings.DiskMB) << 20 * logDiskPercent / 100,
		commands:    make(chan func(), commandQueueCapacity), batches: make(chan *tally.Batch, 1), done: make(chan struct{}),
		witnesses: newWitnessMemory(c.settings.DataDirectory, c.log),
		peers:     c.tallyPeers, pendingAdds: map[uint64]chan tally.Result{}, peerPresence: map[string]tally.Presence{},
		replicaOptions: tally.Options{
			Self:        c.settings.InternalAddr(c.settings.IP),
			Zone:        c.settings.Zone,
			Incarnation: randomNonce(), // identifies this start of the process
			// A random start of the clock distinguishes echoes of messages of an earlier start. The
			// shift leaves room to count up.
			ClockBase:    int64(randomNonce() >> 1),
			RemoteCopies: c.settings.MachineFaultTolerance, // besides this machine
			MaxAdds:      c.settings.MemoryMB << 20 / 100 * addsMemoryPercent / bytesPerAdd,
			NewOrigin:    randomOrigin,
			Timing:       tally.DefaultTiming(),
		},
	}
	t.logOptions = tallylog.Options{
		// Without a log, no tallies were lost if the system starts for the first time or if this
		// disk stored the control state before it stored tallies.
		Complete:  c.settings.FirstStart || durable.Exists(c.settings.DataDirectory),
		NewOrigin: randomOrigin,
	}
	c.tallies = t
	return tallylog.Init(t.directory, t.logOptions)
}

// openLog reads the log and creates a replica from it, with retries. It returns false if the
// service stops first.
func (t *tallyService) openLog() bool {
	for {
		file, saved, err := tallylog.Open(t.directory, t.logOptions)
		var damage *tallylog.CorruptionError
		if errors.As(err, &damage) {
			t.log.Error().Err(err).Str("step", "open tallies").Msg("tally log is damaged; quarantining it and copying the tallies from the peers")
			err = nil
		}
		if err == nil {
			t.tallyLog = file
			t.logBytes.Store(file.Size())
			t.replica = tally.New(t.sinceStart(), t.replicaOptions, saved)
			t.loaded.Store(true)
			t.log.Info().Str("step", "open tallies").Int("adds", saved.Set.Len()).Bool("complete", saved.Complete).Msg("tallies loaded")
			return true
		}
		t.log.Error().Err(err).Str("step", "open tallies").Msg("cannot open the tally log; will retry")
		select {
		case <-time.After(reopenDelay):
		case <-t.done:
			return false
		}
	}
}

// errLoading is returned to calls that arrive before the log is loaded.
var errLoading = errors.New("the tallies are being read from disk")

// errShuttingDown is returned to calls that the shutdown interrupts.
var errShuttingDown = errors.New("this machine ends")

// randomOrigin returns a random nonzero ID for a disk's sequence of adds.
func randomOrigin() tally.Origin {
	var random [8]byte
	rand.Read(random[:])
	return tally.Origin(binary.LittleEndian.Uint64(random[:]) | 1)
}

// tallyPeers returns the seeds, the members of the view in force and the agents.
func (c *Controller) tallyPeers() tallyPeers {
	now := c.published.Load()
	return tallyPeers{seeds: now.seedAddrs, members: now.controllerAddrs, agents: agentsByZone(now.members.Agents)}
}

// sinceStart returns the monotonic time since the service was created.
func (t *tallyService) sinceStart() time.Duration { return time.Since(t.startTime) }

// run owns the replica and executes commands and ticks until stop.
func (t *tallyService) run() {
	if !t.openLog() {
		return
	}
	go t.runWriter()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	t.tick()
	for {
		select {
		case command := <-t.commands:
			command()
		case <-ticker.C:
			t.tick()
		case <-t.done:
			return
		}
	}
}

// stop ends the goroutines. Calls in progress fail with errShuttingDown.
func (t *tallyService) stop() {
	close(t.done)
	t.pool.Close()
}

// enqueue queues a command for the tally loop.
func (t *tallyService) enqueue(command func()) {
	select {
	case t.commands <- command:
	case <-t.done:
	}
}

// tick does the periodic work.
func (t *tallyService) tick() {
	now := t.sinceStart()
	if t.peersRefreshedAt == 0 || now-t.peersRefreshedAt >= peerRefreshInterval {
		t.peersRefreshedAt = now
		t.refreshPeers(now)
	}
	t.applyOutput(t.replica.Tick(now))
	t.logPresence(now)
	if t.leaving {
		t.flushed.Store(t.replica.Flushed(now))
		t.unreplicated.Store(t.replica.Unreplicated())
	}
}

// leave announces that this machine is about to shut down. A log that is still being read is first loaded
// and then handed over too.
func (t *tallyService) leave() {
	t.flushed.Store(false)
	t.enqueue(func() {
		t.leaving = true
		t.replica.Drain()
	})
}

// receive passes a message of another machine to the replica.
func (t *tallyService) receive(m *tally.Message) {
	if !t.loaded.Load() {
		return
	}
	t.enqueue(func() { t.applyOutput(t.replica.Receive(t.sinceStart(), m)) })
}

// applyOutput writes, sends and answers what a step of the replica produced.
func (t *tallyService) applyOutput(out tally.Output) {
	if out.Write != nil {
		t.batches <- out.Write
	}
	for _, envelope := range out.Messages {
		t.pool.Post(envelope.To, distribute.KindTally, envelope.Message)
	}
	for _, addr := range out.Attempts {
		go t.attemptConnection(addr, t.sinceStart())
	}
	for _, answer := range out.Results {
		if call := t.pendingAdds[answer.Token]; call != nil {
			call <- answer
			delete(t.pendingAdds, answer.Token)
		}
	}
}

// runWriter appends batches to the log until stop. After a failure it retries until what the disk
// may hold of the failed batch is removed.
func (t *tallyService) runWriter() {
	defer t.tallyLog.Close()
	for {
		select {
		case batch := <-t.batches:
			if err := t.tallyLog.Append(batch); err != nil {
				t.log.Error().Err(err).Str("step", "write tallies").Msg("write to the tally log failed")
				t.enqueue(func() { t.applyOutput(t.replica.WriteFailed(t.sinceStart())) })
				if !t.recoverLog() {
					return
				}
				t.enqueue(func() { t.applyOutput(t.replica.DiskRecovered(t.sinceStart())) })
				continue
			}
			t.logBytes.Store(t.tallyLog.Size())
			full := t.maxLogBytes > 0 && t.tallyLog.Size() >= t.maxLogBytes
			t.enqueue(func() {
				t.replica.SetDiskFull(full)
				t.applyOutput(t.replica.WriteSucceeded(t.sinceStart()))
			})
		case <-t.done:
			return
		}
	}
}

// recoverLog waits until the disk works again. It returns false if the service stops first.
func (t *tallyService) recoverLog() bool {
	for {
		select {
		case <-time.After(reopenDelay):
		case <-t.done:
			return false
		}
		err := t.tallyLog.Recover()
		if err == nil {
			return true
		}
		t.log.Error().Err(err).Str("step", "recover tallies").Msg("cannot recover the tally log; will retry")
	}
}
