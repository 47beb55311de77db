package controller

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"slices"
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
	// contractTallies is the part of the rules that asks for tallies.
	contractTallies = "apart"
	// memoryShare is the part of a machine's memory, in percent, that adds may take, and bytesPerAdd what one takes.
	addsMemoryPercent = 35
	bytesPerAdd       = 80
	// diskShare is the part of a machine's disk, in percent, from which no more adds are taken: the control state needs the rest.
	logDiskPercent = 40
	// peersEvery is how often the members of the view are looked at.
	peerRefreshInterval = 500 * time.Millisecond
)

// tallies keeps this machine's part of the tallies: one goroutine owns the replica and works through a queue of commands, another writes
// the log. Their connections are their own, so that neither they nor the control state wait behind the other.
type tallyService struct {
	log            zerolog.Logger
	startTime      time.Time
	pool           *rpc.Pool
	directory      string
	logOptions     tallylog.Options
	replicaOptions tally.Options
	maxLogBytes    int64 // bytes of the log from which no more adds are taken, 0: no limit
	commands       chan func()
	batches        chan *tally.Batch
	done           chan struct{}
	loaded         atomic.Bool // the file is read: before, no command is taken
	flushed        atomic.Bool // the others in reach have all that was taken here
	logBytes       atomic.Int64
	peerAddrs      func() []string
	tallyLog       *tallylog.Log // the writer's

	// What follows is the owner's.
	replica          *tally.Replica
	pendingAdds      map[uint64]chan tally.Answer
	lastToken        uint64
	peersRefreshedAt time.Duration // when the peers were last looked at
}

// newTallies makes this machine's tallies. A file for them is there when it returns; it is read when they run, as a long one takes seconds
// and the control state does not wait for it.
func (c *Controller) newTallies() error {
	t := &tallyService{
		log: c.log, startTime: time.Now(), pool: rpc.NewPoolWithNetwork(c.network),
		directory:   c.settings.DataDirectory,
		maxLogBytes: int64(c.settings.DiskMB) << 20 * logDiskPercent / 100,
		commands:    make(chan func(), commandQueueCapacity), batches: make(chan *tally.Batch, 1), done: make(chan struct{}),
		peerAddrs: c.tallyPeerAddrs, pendingAdds: map[uint64]chan tally.Answer{},
		replicaOptions: tally.Options{
			Self:      c.settings.InternalAddr(c.settings.IP),
			Life:      randomNonce(),
			ClockBase: int64(randomNonce() >> 1),
			Copies:    c.settings.MachineFaultTolerance,
			MostAdds:  c.settings.MemoryMB << 20 / 100 * addsMemoryPercent / bytesPerAdd,
			NewOrigin: randomOrigin,
			Timing:    tally.DefaultTiming(),
		},
	}
	t.flushed.Store(true)
	t.logOptions = tallylog.Options{
		Complete:  c.settings.FirstStart || durable.Exists(c.settings.DataDirectory),
		NewOrigin: randomOrigin,
	}
	c.tallies = t
	return tallylog.Prepare(t.directory, t.logOptions)
}

// open reads the tallies' file and makes a replica of it; false after stop.
func (t *tallyService) openLog() bool {
	for {
		file, saved, err := tallylog.Open(t.directory, t.logOptions)
		var damage *tallylog.DamageError
		if errors.As(err, &damage) {
			t.log.Error().Err(err).Str("step", "open tallies").Msg("the tallies on disk are damaged: they are set aside and learned anew")
			err = nil
		}
		if err == nil {
			t.tallyLog = file
			t.logBytes.Store(file.Size())
			t.replica = tally.New(t.sinceStart(), t.replicaOptions, saved)
			t.loaded.Store(true)
			t.log.Info().Str("step", "open tallies").Int("adds", saved.Set.Size()).Bool("complete", saved.Complete).Msg("tallies read")
			return true
		}
		t.log.Error().Err(err).Str("step", "open tallies").Msg("disk fails")
		select {
		case <-time.After(reopenDelay):
		case <-t.done:
			return false
		}
	}
}

// errReading is for calls that come before the file is read.
var errLoading = errors.New("the tallies are being read from disk")

// errEnding is for calls that a controller's end cuts off.
var errShuttingDown = errors.New("this machine ends")

func randomOrigin() tally.Origin {
	var random [8]byte
	rand.Read(random[:])
	return tally.Origin(binary.LittleEndian.Uint64(random[:]) | 1)
}

// tallyPeers names the seeds and the members of the view in force.
func (c *Controller) tallyPeerAddrs() []string {
	now := c.published.Load()
	return slices.Concat(now.seedAddrs, now.controllerAddrs)
}

func (t *tallyService) sinceStart() time.Duration { return time.Since(t.startTime) }

// run owns the replica until stop.
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

// stop ends the goroutines; calls under way get no answer.
func (t *tallyService) stop() {
	close(t.done)
	t.pool.Close()
}

func (t *tallyService) enqueue(command func()) {
	select {
	case t.commands <- command:
	case <-t.done:
	}
}

func (t *tallyService) tick() {
	now := t.sinceStart()
	if t.peersRefreshedAt == 0 || now-t.peersRefreshedAt >= peerRefreshInterval {
		t.peersRefreshedAt = now
		t.replica.SetPeers(now, t.peerAddrs())
	}
	t.applyOutput(t.replica.Tick(now))
	t.flushed.Store(t.replica.Flushed(now))
}

// leave says that this machine is about to end.
func (t *tallyService) leave() {
	if !t.loaded.Load() {
		return
	}
	t.flushed.Store(false)
	t.enqueue(func() { t.replica.Leave() })
}

// receive takes another machine's message.
func (t *tallyService) receive(m *tally.Message) {
	if !t.loaded.Load() {
		return
	}
	t.enqueue(func() { t.applyOutput(t.replica.Receive(t.sinceStart(), m)) })
}

// perform does what a step wants.
func (t *tallyService) applyOutput(out tally.Output) {
	if out.Write != nil {
		t.batches <- out.Write
	}
	for _, e := range out.Messages {
		t.pool.Post(e.To, distribute.KindTally, e.Message)
	}
	for _, answer := range out.Answers {
		if call := t.pendingAdds[answer.Token]; call != nil {
			call <- answer
			delete(t.pendingAdds, answer.Token)
		}
	}
}

// write makes batches last, one after the other, until stop. After a failure it tries again and again to take back what the disk may have
// of the batch.
func (t *tallyService) runWriter() {
	defer t.tallyLog.Close()
	for {
		select {
		case batch := <-t.batches:
			if err := t.tallyLog.Append(batch); err != nil {
				t.log.Error().Err(err).Str("step", "write tallies").Msg("disk failed")
				t.enqueue(func() { t.applyOutput(t.replica.Failed(t.sinceStart())) })
				if !t.recoverLog() {
					return
				}
				t.enqueue(func() { t.applyOutput(t.replica.Recovered(t.sinceStart())) })
				continue
			}
			t.logBytes.Store(t.tallyLog.Size())
			full := t.maxLogBytes > 0 && t.tallyLog.Size() >= t.maxLogBytes
			t.enqueue(func() {
				t.replica.SetFull(full)
				t.applyOutput(t.replica.Synced(t.sinceStart()))
			})
		case <-t.done:
			return
		}
	}
}

// recover waits until the disk works again; false after stop.
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
		t.log.Error().Err(err).Str("step", "recover tallies").Msg("disk still fails")
	}
}
