package proxy

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"nettlefold/internal/upstream"
)

const (
	// relayShare is the part of the machine's processor time that the relaying of responses may take as long as each takes
	// an equal part of it, and again the part of those that take more.
	relayShare = 0.35
	// relayAllowance is how much processor time a response may take at once before it counts as one that takes more.
	relayAllowance = time.Millisecond
	// relayBurst is how much processor time may be saved up for the responses that take more than their part.
	relayBurst = 5 * time.Millisecond
	// relayServiceIdle is how long a service without a turn has its part kept.
	relayServiceIdle = 100 * time.Millisecond
	// relayTurnInterval is the shortest time between two checks whose turn it is.
	relayTurnInterval = time.Millisecond
	// maxTurnCost bounds what a turn counts for: a longer one was interrupted by other work of the machine.
	maxTurnCost = 2 * time.Millisecond
	// initialTurnCost is what a response's first turn is expected to cost.
	initialTurnCost = 50 * time.Microsecond
	// slowWriteFactor is by how many times a write may be slower than the fastest one; the rest is taken for waiting.
	slowWriteFactor = 4
)

// relayScheduler shares the processor among the responses that are relayed. Backends may send bytes without end and as fast
// as they are read, and each byte costs processor time: without a bound, a few such responses take all of it from the
// requests of other clients. A response that takes no more than an equal part of relayShare is never held up. Those that
// take more wait for their turns: these have another relayShare together, in equal parts for each service that has any and,
// within a service, in the order of arrival. A response that waits isn't read, and flow control holds up its backend. Scheduling by turns also
// leaves the processor idle now and then, which is when the runtime looks for network events at once.
type relayScheduler struct {
	processors   float64 // that the process may use at once
	active       atomic.Int64
	fastestWrite atomic.Int64 // a time.Duration
	held         atomic.Uint64

	mu         sync.Mutex
	services   map[string]*relayService // that had turns, or waited for one, within relayServiceIdle
	timerIsSet bool
}

// relayService is the part of one service in the processor time for turns.
type relayService struct {
	saved   time.Duration // that turns may take now; negative: they took more
	savedAt time.Time
	queue   []*relayTurn
	usedAt  time.Time // when it last had or wanted a turn
}

// relayTurn is a turn that is waited for.
type relayTurn struct {
	cost    time.Duration // as expected
	granted chan struct{} // closed when it is the response's turn
	given   bool
}

// newRelayScheduler returns the scheduler of a process that may use so many processors at once. Where it gets only a share
// of one, its steps take longer, and that is measured.
func newRelayScheduler(processors int) *relayScheduler {
	return &relayScheduler{processors: float64(processors), services: map[string]*relayService{}}
}

// relayMeter measures the processor time of one response. It belongs to the goroutine that relays the response.
type relayMeter struct {
	scheduler *relayScheduler
	service   string
	allowance time.Duration // that the response may take without waiting for its turn
	checkedAt time.Time
	hasTurn   bool
	turnCost  time.Duration // of the newest turn
}

// newMeter returns the meter of a response of a service's backend. close is to be called at its end.
func (s *relayScheduler) newMeter(service string) *relayMeter {
	s.active.Add(1)
	return &relayMeter{scheduler: s, service: service, allowance: relayAllowance, checkedAt: time.Now(), turnCost: initialTurnCost}
}

func (m *relayMeter) close() { m.scheduler.active.Add(-1) }

// wait waits until the response may be read on, or ctx is done.
func (m *relayMeter) wait(ctx context.Context) {
	s, now := m.scheduler, time.Now()
	part := relayShare * s.processors / float64(max(1, s.active.Load()))
	m.allowance = min(relayAllowance, m.allowance+time.Duration(part*float64(now.Sub(m.checkedAt))))
	m.checkedAt = now
	if m.hasTurn = m.allowance <= 0; m.hasTurn {
		s.awaitTurn(ctx, m.service, m.turnCost)
	}
}

// charge counts the processor time that was taken since wait.
func (m *relayMeter) charge(cost time.Duration) {
	cost = min(cost, maxTurnCost)
	if m.hasTurn {
		m.scheduler.settle(m.service, cost-m.turnCost)
		m.turnCost = cost
		return
	}
	m.allowance -= cost
}

// writeCost returns how much of the time of a write was processor time. What is much more than the fastest one takes was
// waiting for the client.
func (s *relayScheduler) writeCost(took time.Duration) time.Duration {
	fastest := time.Duration(s.fastestWrite.Load())
	switch {
	case fastest == 0 || took < fastest:
		s.fastestWrite.Store(int64(max(1, took)))
	default:
		s.fastestWrite.Store(int64(fastest + fastest/1024 + 1)) // machines become slower, too
	}
	return min(took, slowWriteFactor*max(fastest, 1))
}

// cost returns the processor time of one step of relaying a response: of the time that it took, of what reads of its
// connection waited meanwhile, and of what was spent writing to the client. Each read costs about as much as a write.
func (s *relayScheduler) cost(took time.Duration, before, after upstream.ReadTotals, writing time.Duration) time.Duration {
	processing := took - (after.Waited - before.Waited) - writing
	if writing > 0 {
		processing += s.writeCost(writing)
	}
	return processing + time.Duration(after.Reads-before.Reads)*time.Duration(s.fastestWrite.Load())
}

// awaitTurn waits for a turn of a response that is expected to cost so much, or until ctx is done.
func (s *relayScheduler) awaitTurn(ctx context.Context, name string, cost time.Duration) {
	s.mu.Lock()
	now := time.Now()
	service := s.service(now, name)
	service.usedAt = now
	s.save(now, service)
	if service.saved > 0 && len(service.queue) == 0 {
		service.saved -= cost
		s.mu.Unlock()
		return
	}
	turn := &relayTurn{cost: cost, granted: make(chan struct{})}
	service.queue = append(service.queue, turn)
	s.arm()
	s.mu.Unlock()
	s.held.Add(1)
	select {
	case <-turn.granted:
	case <-ctx.Done():
		s.abandon(service, turn)
	}
}

// service returns the part of a service, a new one if it has none. The lock is held.
func (s *relayScheduler) service(now time.Time, name string) *relayService {
	service := s.services[name]
	if service == nil {
		service = &relayService{saved: relayBurst, savedAt: now}
		s.services[name] = service
	}
	return service
}

// abandon removes a turn that is no longer waited for. It counts as taken even so, since the response is still charged.
func (s *relayScheduler) abandon(service *relayService, turn *relayTurn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if turn.given {
		return
	}
	service.saved -= turn.cost
	service.queue = slices.DeleteFunc(service.queue, func(other *relayTurn) bool { return other == turn })
}

// rate returns which part of the time is processor time for turns of one service. The lock is held.
func (s *relayScheduler) rate() float64 {
	return relayShare * s.processors / float64(max(1, len(s.services)))
}

// save adds what turns of a service may take since the last time. The lock is held.
func (s *relayScheduler) save(now time.Time, service *relayService) {
	earned := time.Duration(s.rate() * float64(now.Sub(service.savedAt)))
	service.saved, service.savedAt = min(relayBurst, service.saved+earned), now
}

// settle corrects what the expected cost of a service's turn was off by.
func (s *relayScheduler) settle(name string, more time.Duration) {
	s.mu.Lock()
	s.service(time.Now(), name).saved -= more
	s.mu.Unlock()
}

// arm sets the timer for the next turns, if any are waited for. The lock is held.
func (s *relayScheduler) arm() {
	if s.timerIsSet {
		return
	}
	wait := time.Duration(-1)
	for _, service := range s.services {
		if len(service.queue) == 0 {
			continue
		}
		earned := max(relayTurnInterval, time.Duration(float64(-service.saved)/s.rate()))
		if wait < 0 || earned < wait {
			wait = earned
		}
	}
	if wait >= 0 {
		s.timerIsSet = true
		time.AfterFunc(wait, s.grant)
	}
}

// grant gives the turns for which there is processor time, and forgets services that have had none for a while.
func (s *relayScheduler) grant() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timerIsSet = false
	now := time.Now()
	maps.DeleteFunc(s.services, func(_ string, service *relayService) bool {
		return len(service.queue) == 0 && now.Sub(service.usedAt) > relayServiceIdle
	})
	for _, service := range s.services {
		s.save(now, service)
		for service.saved > 0 && len(service.queue) > 0 {
			turn := service.queue[0]
			service.queue = service.queue[1:]
			service.saved -= turn.cost
			service.usedAt, turn.given = now, true
			close(turn.granted)
		}
	}
	s.arm()
}
