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
	memoryShare = 35
	bytesPerAdd = 80
	// diskShare is the part of a machine's disk, in percent, from which no more adds are taken: the control state needs the rest.
	diskShare = 40
	// peersEvery is how often the members of the view are looked at.
	peersEvery = 500 * time.Millisecond
)

// tallies keeps this machine's part of the tallies: one goroutine owns the replica and works through a queue of commands, another writes
// the log. Their connections are their own, so that neither they nor the control state wait behind the other.
type tallies struct {
	log       zerolog.Logger
	start     time.Time
	pool      *rpc.Pool
	directory string
	file      tallylog.Options
	options   tally.Options
	diskRoom  int64 // bytes of the log from which no more adds are taken, 0: no limit
	commands  chan func()
	batches   chan *tally.Batch
	done      chan struct{}
	opened    atomic.Bool // the file is read: before, no command is taken
	flushed   atomic.Bool // the others in reach have all that was taken here
	logBytes  atomic.Int64
	peers     func() []string
	disk      *tallylog.Log // the writer's

	// What follows is the owner's.
	replica  *tally.Replica
	calls    map[uint64]chan tally.Result
	token    uint64
	lookedAt time.Duration // when the peers were last looked at
}

// newTallies makes this machine's tallies. A file for them is there when it returns; it is read when they run, as a long one takes seconds
// and the control state does not wait for it.
func (c *Controller) newTallies() error {
	t := &tallies{
		log: c.log, start: time.Now(), pool: rpc.NewPoolWithNetwork(c.network),
		directory: c.settings.DataDirectory,
		diskRoom:  int64(c.settings.DiskMB) << 20 * diskShare / 100,
		commands:  make(chan func(), commandQueue), batches: make(chan *tally.Batch, 1), done: make(chan struct{}),
		peers: c.tallyPeers, calls: map[uint64]chan tally.Result{},
		options: tally.Options{
			Self:         c.settings.InternalAddr(c.settings.IP),
			Incarnation:  randomNonce(),
			ClockBase:    int64(randomNonce() >> 1),
			RemoteCopies: c.settings.MachineFaultTolerance,
			MaxAdds:      c.settings.MemoryMB << 20 / 100 * memoryShare / bytesPerAdd,
			NewOrigin:    newOrigin,
			Timing:       tally.DefaultTiming(),
		},
	}
	t.flushed.Store(true)
	t.file = tallylog.Options{
		Complete:  c.settings.FirstStart || durable.Present(c.settings.DataDirectory),
		NewOrigin: newOrigin,
	}
	c.tallies = t
	return tallylog.Init(t.directory, t.file)
}

// open reads the tallies' file and makes a replica of it; false after stop.
func (t *tallies) open() bool {
	for {
		file, saved, err := tallylog.Open(t.directory, t.file)
		var damage *tallylog.CorruptionError
		if errors.As(err, &damage) {
			t.log.Error().Err(err).Str("step", "open tallies").Msg("the tallies on disk are damaged: they are set aside and learned anew")
			err = nil
		}
		if err == nil {
			t.disk = file
			t.logBytes.Store(file.Size())
			t.replica = tally.New(t.now(), t.options, saved)
			t.opened.Store(true)
			t.log.Info().Str("step", "open tallies").Int("adds", saved.Set.Len()).Bool("complete", saved.Complete).Msg("tallies read")
			return true
		}
		t.log.Error().Err(err).Str("step", "open tallies").Msg("disk fails")
		select {
		case <-time.After(reopenAfter):
		case <-t.done:
			return false
		}
	}
}

// errReading is for calls that come before the file is read.
var errReading = errors.New("the tallies are being read from disk")

// errEnding is for calls that a controller's end cuts off.
var errEnding = errors.New("this machine ends")

func newOrigin() tally.Origin {
	var random [8]byte
	rand.Read(random[:])
	return tally.Origin(binary.LittleEndian.Uint64(random[:]) | 1)
}

// tallyPeers names the seeds and the members of the view in force.
func (c *Controller) tallyPeers() []string {
	now := c.public.Load()
	return slices.Concat(now.seeds, now.controllers)
}

func (t *tallies) now() time.Duration { return time.Since(t.start) }

// run owns the replica until stop.
func (t *tallies) run() {
	if !t.open() {
		return
	}
	go t.write()
	ticker := time.NewTicker(tickEvery)
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
func (t *tallies) stop() {
	close(t.done)
	t.pool.Close()
}

func (t *tallies) enqueue(command func()) {
	select {
	case t.commands <- command:
	case <-t.done:
	}
}

func (t *tallies) tick() {
	now := t.now()
	if t.lookedAt == 0 || now-t.lookedAt >= peersEvery {
		t.lookedAt = now
		t.replica.SetPeers(now, t.peers())
	}
	t.perform(t.replica.Tick(now))
	t.flushed.Store(t.replica.Flushed(now))
}

// leave says that this machine is about to end.
func (t *tallies) leave() {
	if !t.opened.Load() {
		return
	}
	t.flushed.Store(false)
	t.enqueue(func() { t.replica.Drain() })
}

// receive takes another machine's message.
func (t *tallies) receive(m *tally.Message) {
	if !t.opened.Load() {
		return
	}
	t.enqueue(func() { t.perform(t.replica.Receive(t.now(), m)) })
}

// perform does what a step wants.
func (t *tallies) perform(out tally.Output) {
	if out.Write != nil {
		t.batches <- out.Write
	}
	for _, e := range out.Messages {
		t.pool.Post(e.To, distribute.KindTally, e.Message)
	}
	for _, answer := range out.Results {
		if call := t.calls[answer.Token]; call != nil {
			call <- answer
			delete(t.calls, answer.Token)
		}
	}
}

// write makes batches last, one after the other, until stop. After a failure it tries again and again to take back what the disk may have
// of the batch.
func (t *tallies) write() {
	defer t.disk.Close()
	for {
		select {
		case batch := <-t.batches:
			if err := t.disk.Append(batch); err != nil {
				t.log.Error().Err(err).Str("step", "write tallies").Msg("disk failed")
				t.enqueue(func() { t.perform(t.replica.WriteFailed(t.now())) })
				if !t.recover() {
					return
				}
				t.enqueue(func() { t.perform(t.replica.DiskRecovered(t.now())) })
				continue
			}
			t.logBytes.Store(t.disk.Size())
			full := t.diskRoom > 0 && t.disk.Size() >= t.diskRoom
			t.enqueue(func() {
				t.replica.SetDiskFull(full)
				t.perform(t.replica.WriteSucceeded(t.now()))
			})
		case <-t.done:
			return
		}
	}
}

// recover waits until the disk works again; false after stop.
func (t *tallies) recover() bool {
	for {
		select {
		case <-time.After(reopenAfter):
		case <-t.done:
			return false
		}
		err := t.disk.Recover()
		if err == nil {
			return true
		}
		t.log.Error().Err(err).Str("step", "recover tallies").Msg("disk still fails")
	}
}
