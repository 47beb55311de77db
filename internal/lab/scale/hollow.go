package scale

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"nettlefold/internal/fleet/control"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
)

// What is noted of hollow mixers. An event is the mixer's number, what it was, epoch and number of a version, and when by the
// machine's clock (Unix time, ns), which all processes here share.
const (
	evBegun = iota
	evEnded
	evInForce
	evRejected
	evBack // a version came that is not above the one in force
)

type event [5]uint64

// herd is a process's hollow mixers.
type herd struct {
	spec spec
	log  *slog.Logger

	mu      sync.Mutex
	events  []event
	mixers  []*hollow
	read    map[readKey]*reading
	recent  []readKey // of read, the oldest first
	element string    // and value of the last version that was rejected
	value   string
}

// hollow is one mixer. Each start is a new life: settings and module are those of a start again.
type hollow struct {
	h     *herd
	index int

	wires *wires // of its present life
	stop  context.CancelFunc
	ended chan struct{}

	begin             protocol.Config // what each life starts with
	router            *routing.Router // of its present life
	inForce, rejected control.Stamp

	in, out int64     // bytes of earlier lives
	base    int64     // in and out when the present scene began
	ago     [11]int64 // in and out at each of the last seconds, a ring
	peak    int64     // of a second, since the scene began
	peakTen int64     // a second, of ten seconds
}

func newHerd(s spec, log *slog.Logger) (*herd, error) {
	h := &herd{spec: s, log: log, read: map[readKey]*reading{}}
	for i := s.From; i < s.To; i++ {
		begin, err := protocol.ReadConfig(started(i, s.All))
		if err != nil {
			return nil, err
		}
		h.mixers = append(h.mixers, &hollow{h: h, index: i, begin: begin})
	}
	return h, nil
}

func (h *herd) note(m *hollow, what int, s control.Stamp) {
	h.events = append(h.events, event{uint64(m.index), uint64(what), s.Epoch, s.Number, uint64(time.Now().UnixNano())})
}

// start has mixers begin, all at once: what spreads them is the session itself.
func (h *herd) start(numbers []int) error {
	for _, i := range numbers {
		m := h.mixers[i-h.spec.From]
		if m.stop != nil {
			continue
		}
		c := m.begin
		// A router's Run, which calls the module's timers, is left out: a module without lookups has nothing due.
		router, err := routing.New(c.Charter, c.Rows, c.Limits.Open, c.Seed, slog.New(slog.DiscardHandler))
		if err != nil {
			return err
		}
		ctx, stop := context.WithCancel(context.Background())
		h.mu.Lock()
		if m.wires != nil {
			m.in, m.out = m.in+m.wires.in.Load(), m.out+m.wires.out.Load()
		}
		m.wires, m.stop, m.ended = &wires{}, stop, make(chan struct{})
		m.router, m.inForce, m.rejected = router, control.Stamp{}, control.Stamp{}
		h.note(m, evBegun, control.Stamp{})
		h.mu.Unlock()
		ended := m.ended
		go func() {
			defer close(ended)
			m.session(ctx)
		}()
	}
	return nil
}

// end has mixers end, with their goodbyes or by a crash.
func (h *herd) end(numbers []int, crash bool) {
	var all []*hollow
	for _, i := range numbers {
		m := h.mixers[i-h.spec.From]
		if m.stop == nil {
			continue
		}
		if crash {
			m.wires.crash()
		}
		h.mu.Lock()
		h.note(m, evEnded, control.Stamp{})
		h.mu.Unlock()
		m.stop()
		m.stop = nil
		all = append(all, m)
	}
	for _, m := range all {
		<-m.ended
	}
}

// apply takes a version as a mixer does: it is read and checked whole, then the module has it.
func (m *hollow) apply(s control.Stamp, document json.RawMessage) error {
	config, err := m.revise(s, document)
	m.h.mu.Lock()
	defer m.h.mu.Unlock()
	if err != nil {
		m.rejected = s
		m.h.element, m.h.value = fault(err)
		m.h.note(m, evRejected, s)
		return err
	}
	if s.Compare(m.inForce) <= 0 {
		m.h.note(m, evBack, s)
	}
	m.inForce = s
	m.adopt(config)
	m.h.note(m, evInForce, s)
	return nil
}

// bytes gives what it has sent and got in all its lives.
func (m *hollow) bytes() (in, out int64) {
	in, out = m.in, m.out
	if m.wires != nil {
		in, out = in+m.wires.in.Load(), out+m.wires.out.Load()
	}
	return in, out
}

// seconds keeps the greatest second and ten seconds of each mixer, until the context ends.
func (h *herd) seconds(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	var at [11]time.Time
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		h.mu.Lock()
		at[n%11] = time.Now() // a process that does not run in time has longer seconds
		over := func(ago int) int64 { return int64(max(1, at[n%11].Sub(at[(n+11-ago)%11]).Seconds()+0.5)) }
		one, ten := over(1), over(10)
		for _, m := range h.mixers {
			in, out := m.bytes()
			m.ago[n%11] = in + out
			m.peak = max(m.peak, (in+out-m.ago[(n+10)%11])/one)
			m.peakTen = max(m.peakTen, (in+out-m.ago[(n+1)%11])/ten)
		}
		h.mu.Unlock()
	}
}
