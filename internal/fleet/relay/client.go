package relay

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/fleet/control"
)

// Client follows the relays, one at a time. Its fields are set before Run and stay. It costs two goroutines and a connection while
// it follows, a second connection for some seconds after it has told of itself, and what it holds of the relay's table.
type Client struct {
	Seats  []control.Seat
	Self   control.Self // Name, Region, Zone; Life, where it is 0, is drawn at random
	Window time.Duration
	Seed   uint64 // of all that is drawn
	Apply  func(control.Stamp, json.RawMessage) error
	Words  Words                                                                // hears what relays say of searchers; nil: nobody does
	Log    *slog.Logger                                                         // nil: none
	Dial   func(ctx context.Context, network, address string) (net.Conn, error) // nil: the net's

	// A relay's own, for its sessions with the others; else nil, and Run makes them.
	follower *control.Follower
	lock     *sync.Mutex  // on the follower and what it holds
	clock    func() int64 // ns, never back
	changed  func()       // called under the lock when something may have been taken
	times    times

	log     *slog.Logger
	work    context.Context // of all that Run has begun
	as      string
	events  chan event
	wg      sync.WaitGroup
	teller  teller
	telling bool
	trying  *session  // nil: none
	hand    *session  // nil: none
	since   time.Time // of the version in force; under lock, as is failed
	failed  string
	fresh   bool       // the session has told nothing yet
	whole   bool       // all that there was has been heard in it
	quiet   bool       // that there is no session has been told
	ready   sync.Mutex // on follower being set
}

// session is one watch on a relay, read by a goroutine of its own.
type session struct {
	seat   control.Seat
	ctx    context.Context
	cancel context.CancelFunc
	named  string // by the relay, once it is open
}

// event is what a session's reader or a telling has to say.
type event struct {
	s      *session
	opened bool
	life   string         // of opened
	named  string         // of opened
	piece  *control.Piece // nil: a beat
	err    error          // not nil: the session is over
	told   bool           // a telling is over, with err
	mark   uint64         // of the telling
}

// Run follows until the context ends, and then says goodbye, which takes as long as the time-outs allow. Its error tells what is
// missing in the fields.
func (c *Client) Run(ctx context.Context) error {
	if err := c.prepare(); err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the goodbye comes before the session's end
	c.work = work
	defer c.leave(cancel)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		c.lock.Lock()
		act, wait := c.follower.Next(c.clock())
		c.lock.Unlock()
		if act.Drop {
			c.lost(errSilent)
		}
		if act.Dial != nil {
			c.open(work, act)
		}
		if act.Tell {
			c.tell()
		}
		if act.Drop || act.Dial != nil || act.Tell {
			continue
		}
		timer.Reset(time.Duration(wait))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case e := <-c.events:
			c.on(e)
		}
	}
	return nil
}

// prepare sets what the fields leave open.
func (c *Client) prepare() error {
	c.log, c.as, c.events = c.Log, asRelay, make(chan event)
	if c.log == nil {
		c.log = slog.New(slog.DiscardHandler)
	}
	if c.Dial == nil {
		c.Dial = plain
	}
	c.times = cmp.Or(c.times, usual)
	if c.follower != nil {
		c.times.room = 0 // a relay is told more, and over long lines
	}
	c.teller = teller{dial: c.Dial, times: c.times}
	if c.follower != nil {
		return nil
	}
	c.as = asMixer
	if c.Self.Life == 0 {
		c.Self.Life = drawn()
	}
	began := time.Now()
	clock := func() int64 { return int64(time.Second + time.Since(began)) } // 0 is never
	f, err := control.NewFollower(clock(), control.FollowerOptions{Self: c.Self, Seats: c.Seats, Window: int64(c.Window), Seed: c.Seed})
	if err != nil {
		return err
	}
	c.ready.Lock()
	defer c.ready.Unlock()
	c.follower, c.lock, c.clock = f, new(sync.Mutex), clock
	return nil
}

// drawn is a life: a number from the system's randomness, not 0.
func drawn() uint64 {
	var raw [8]byte
	crand.Read(raw[:]) // never fails
	return binary.LittleEndian.Uint64(raw[:]) | 1
}

// leave ends what is under way, and says goodbye to the relay in hand.
func (c *Client) leave(cancel context.CancelFunc) {
	hand := c.hand
	if c.as == asMixer && hand != nil && hand.named != "" {
		ctx, done := context.WithTimeout(context.Background(), c.times.bye)
		c.lock.Lock()
		self, _ := c.follower.Self(c.clock())
		c.lock.Unlock()
		if err := c.teller.post(ctx, hand.seat.Address, self, hand.named); err != nil {
			c.log.Debug("control: no goodbye", "relay", hand.seat.Name, "error", err)
		}
		done()
	}
	cancel()
	c.wg.Wait()
	c.teller.close()
}

// open begins a session, beside the one in hand where there is one.
func (c *Client) open(ctx context.Context, act control.Act) {
	s := &session{seat: *act.Dial}
	s.ctx, s.cancel = context.WithCancel(ctx)
	c.trying = s
	path := rowsPath(c.Self.Name, c.as, act.Life, act.Since)
	c.wg.Go(func() {
		defer s.cancel()
		if err := c.read(s, path); err != nil {
			c.say(event{s: s, err: err})
		}
	})
}

// say hands an event to Run, unless its session has ended.
func (c *Client) say(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-e.s.ctx.Done():
		return false
	}
}

// read opens a session and reads it to its end.
func (c *Client) read(s *session, path string) error {
	st, err := open(s.ctx, c.Dial, s.seat.Address, path, c.times)
	if err != nil {
		return err
	}
	defer st.close()
	if !c.say(event{s: s, opened: true, life: st.life, named: st.named}) {
		return nil
	}
	for {
		line, err := st.next()
		if err != nil {
			return err
		}
		e := event{s: s}
		if len(line) > 0 {
			e.piece = new(control.Piece)
			if err := json.Unmarshal(line, e.piece); err != nil {
				return err
			}
		}
		if !c.say(e) {
			return nil
		}
	}
}

// tell tells the relay in hand of this mixer.
func (c *Client) tell() {
	s := c.hand
	if s == nil || c.telling {
		return
	}
	c.lock.Lock()
	self, mark := c.follower.Self(c.clock())
	c.lock.Unlock()
	c.telling = true
	c.wg.Go(func() {
		e := event{s: s, told: true, mark: mark, err: c.teller.post(s.ctx, s.seat.Address, self, "")}
		select {
		case c.events <- e:
		case <-c.work.Done():
		}
	})
}

// on does what an event asks for.
func (c *Client) on(e event) {
	now := c.clock()
	switch {
	case e.told:
		c.telling = false
		if e.err != nil {
			c.log.Debug("control: not told", "relay", e.s.seat.Name, "error", e.err)
		}
		c.locked(func(f *control.Follower) { f.Told(now, e.mark, e.err == nil && e.s == c.hand) })
	case e.opened && e.s == c.trying:
		if c.hand != nil {
			c.hand.cancel()
		}
		c.hand, c.trying, e.s.named = e.s, nil, e.named
		c.locked(func(f *control.Follower) { f.Opened(now, e.life) })
		c.quiet, c.fresh = false, true
		c.wordsOf(true)
		c.log.Info("control: follows", "relay", e.s.seat.Name, "region", e.s.seat.Region, "life", e.life)
	case e.err != nil && e.s == c.trying:
		c.trying = nil
		after, r := int64(0), (*refusal)(nil)
		if errors.As(e.err, &r) {
			after = int64(r.after)
		}
		c.locked(func(f *control.Follower) { f.Failed(now, after); c.failed = clip(e.err.Error()) })
		level := slog.LevelDebug // it tries again for as long as it takes
		if c.hand == nil && !c.quiet {
			level, c.quiet = slog.LevelInfo, true
		}
		c.log.Log(c.work, level, "control: no session", "relay", e.s.seat.Name, "error", e.err)
	case e.s != c.hand: // of one that was given up
	case e.err != nil:
		c.locked(func(f *control.Follower) {
			if c.failed = clip(e.err.Error()); errors.Is(e.err, errSilent) {
				f.Silent(now)
			} else {
				f.Lost(now)
			}
		})
		c.lost(e.err)
	case e.piece == nil:
		c.locked(func(f *control.Follower) { f.Beat(now) })
	default:
		c.take(now, *e.piece)
	}
}

// locked calls with the follower under its lock.
func (c *Client) locked(do func(*control.Follower)) {
	c.lock.Lock()
	defer c.lock.Unlock()
	do(c.follower)
	if c.changed != nil {
		c.changed()
	}
}

// lost lets the session in hand go.
func (c *Client) lost(why error) {
	if c.hand == nil {
		return
	}
	c.hand.cancel()
	what := "control: alone, goes on with what it has"
	if c.as == asRelay {
		what = "control: no longer hears a relay"
	}
	c.wordsOf(false)
	c.log.Info(what, "relay", c.hand.seat.Name, "error", why)
	c.hand = nil
}

// take takes a piece, and applies the version that it may bring.
func (c *Client) take(now int64, p control.Piece) {
	var row *control.Row
	var held, news []control.Row
	var err error
	c.locked(func(f *control.Follower) {
		if held = nil; c.Words != nil && c.fresh && !p.Snapshot {
			held = f.Table().Rows(control.KindWords)
		}
		row, news, err = f.Take(now, p)
	})
	if err != nil {
		c.log.Warn("control: a relay tells nonsense", "relay", c.hand.seat.Name, "index", p.Index, "error", err)
		return
	}
	c.hear(p, held, news)
	for row != nil {
		row = c.apply(row)
	}
}

// apply applies a version, and gives the one to be applied instead where it is rejected.
func (c *Client) apply(row *control.Row) (next *control.Row) {
	var err error
	if c.Apply != nil {
		err = c.Apply(row.Stamp, row.Body)
	}
	now := c.clock()
	if err == nil {
		c.locked(func(f *control.Follower) { f.Applied(now, row.Stamp); c.since = time.Now() })
		c.log.Info("control: a version is in force", "epoch", row.Epoch, "number", row.Number, "author", row.Author)
		return nil
	}
	element, value := "(document)", err.Error()
	var fault *charter.SettingError
	if errors.As(err, &fault) {
		element, value = fault.Key, fault.Value
	}
	c.locked(func(f *control.Follower) { next = f.Refused(now, row.Stamp, element, value) })
	c.log.Warn("control: a version is rejected", "epoch", row.Epoch, "number", row.Number, "author", row.Author,
		"element", element, "value", value)
	return next
}
