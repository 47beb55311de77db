package fleetdemo

import (
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// graceIf returns the grace of processes that are told to end, 0 for those that are killed.
func graceIf(told bool) time.Duration {
	if told {
		return soakGrace
	}
	return 0
}

// What a soak does soon after it has started programs again.
const (
	endsAgain     = 0.3 // share of starts after which the programs are told to end once more
	hangsUp       = 0.5 // share of starts after which they get SIGHUP in series
	endsAgainMost = 60 * time.Millisecond
	hangups       = 20
)

// startAgain starts programs by a function, and signals them soon afterwards: SIGHUP in series, and SIGTERM, after which they are
// started once more.
func (s *soak) startAgain(a act, start func() error, names ...string) {
	random := rand.New(rand.NewPCG(s.seed, uint64(a.At)))
	if random.Float64() < endsAgain {
		start()
		wait := s.hangUp(names...)
		time.Sleep(drawTime(random, 0, endsAgainMost))
		s.world.endProcesses(soakGrace, names...)
		wait()
	}
	start()
	if random.Float64() < hangsUp {
		wait := s.hangUp(names...)
		wait()
	}
}

// hangUp has processes get SIGHUP in series from now on. wait waits until that is over.
func (s *soak) hangUp(names ...string) (wait func()) {
	var signals sync.WaitGroup
	for _, name := range names {
		if p := s.world.process(name); p != nil {
			signals.Go(func() { p.hangUp(hangups) })
		}
	}
	return signals.Wait
}

func (s *soak) restartFront(a act) {
	from := time.Now()
	s.trouble(a, from, from.Add(time.Hour))
	agent, proxy := frontProcess(a.Target, "agent"), frontProcess(a.Target, "proxy")
	s.world.endProcesses(graceIf(a.Kind == actTermFront), agent, proxy)
	time.Sleep(a.For)
	s.startAgain(a, func() error { return s.world.startFront(a.Target) }, agent, proxy)
	s.trouble(a, from, time.Now())
}

func (s *soak) restartController(a act) {
	over := s.troubleController(a.Target, a.Kind)
	defer over()
	s.world.endProcesses(graceIf(a.Kind == actTermCore), controllerProcess(a.Target))
	time.Sleep(a.For)
	s.startAgain(a, func() error { return s.world.startController(a.Target, false) }, controllerProcess(a.Target))
}

// loseDiskInOutage kills all controllers but one. That one loses its disk when they are about to be back.
func (s *soak) loseDiskInOutage(a act) {
	var others []string
	for i := range s.world.size.controllers {
		over := s.troubleController(i, a.Kind)
		defer over()
		if i != a.Target {
			others = append(others, controllerProcess(i))
		}
	}
	s.world.endProcesses(0, others...)
	time.Sleep(a.For)
	s.world.endProcesses(0, controllerProcess(a.Target))
	s.world.loseDisk(a.Target)
	for i := range s.world.size.controllers {
		s.world.startController(i, false)
	}
}

// controllerProcess returns the name of a controller's process.
func controllerProcess(i int) string { return controllerName(i) + "-controller" }

// troubleController records that a controller is in trouble until the returned function is called.
func (s *soak) troubleController(i int, kind string) (over func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.record.Cores)
	now := time.Now()
	s.record.Cores = append(s.record.Cores, machineTrouble{span{now, now.Add(time.Hour)}, i, kind})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.record.Cores[number].To = time.Now()
	}
}

func (s *soak) freeze(a act) {
	from := time.Now()
	s.trouble(a, from, from.Add(time.Hour))
	s.signalFront(a.Target, syscall.SIGSTOP)
	time.Sleep(a.For)
	s.signalFront(a.Target, syscall.SIGCONT)
	s.trouble(a, from, time.Now())
}

func (s *soak) signalFront(front int, signal os.Signal) {
	for _, program := range []string{"agent", "proxy"} {
		if p := s.world.process(frontProcess(front, program)); p != nil {
			p.command.Process.Signal(signal)
		}
	}
}

// trouble notes what is done to a front, and again when it is over.
func (s *soak) trouble(a act, from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.record.Fronts {
		if t := &s.record.Fronts[i]; t.Number == a.Target && t.From.Equal(from) {
			t.To = to
			return
		}
	}
	s.record.Fronts = append(s.record.Fronts, machineTrouble{span{from, to}, a.Target, a.Kind})
}

func (s *soak) troubleEngine(a act) {
	e := s.world.list[a.Target]
	switch a.Kind {
	case actCrash:
		s.world.engines.log.crashed(e.crash())
		time.Sleep(a.For)
		e.serve()
	case actSilence:
		resume := e.pause()
		time.Sleep(a.For)
		resume()
	case actSlow:
		e.setSlow(slowedBy)
		time.Sleep(a.For)
		e.setSlow(0)
	}
}

// drain has the platform's list show an engine as draining. Later the engine ends, and another life of it is ready.
func (s *soak) drain(a act) {
	e := s.world.list[a.Target]
	life := e.drain()
	s.mu.Lock()
	s.record.Drains[life] = time.Now()
	s.mu.Unlock()
	time.Sleep(a.For)
	s.world.engines.log.crashed(e.crash())
	e.serve()
}

// evacuate has a zone emptied and takes that back.
func (s *soak) evacuate(a act) {
	path := "/v1/evacuations/" + zoneOf(a.Target)
	if s.world.order(http.MethodPost, path, "", "") != nil {
		return
	}
	s.mu.Lock()
	number := len(s.record.Evacuations)
	s.record.Evacuations = append(s.record.Evacuations, evacuation{Zone: zoneOf(a.Target), Acked: time.Now()})
	s.mu.Unlock()
	time.Sleep(a.For)
	s.mu.Lock()
	s.record.Evacuations[number].Back = time.Now()
	s.mu.Unlock()
	s.world.order(http.MethodDelete, path, "", "")
}

// cut cuts machines off from each other for a time.
func (s *soak) cut(a act) {
	links := cutLinks(a, s.world.size)
	s.mu.Lock()
	number := len(s.record.Cuts)
	now := time.Now()
	s.record.Cuts = append(s.record.Cuts, cutTrouble{span{now, now.Add(time.Hour)}, links})
	s.mu.Unlock()
	heal := s.world.net.cut(links)
	time.Sleep(a.For)
	heal()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Cuts[number].To = time.Now()
}

// cutLinks gives the links that an event cuts.
func cutLinks(a act, of size) []link {
	var controllers, all, zone []string
	for i := range of.controllers {
		controllers = append(controllers, controllerIP(i))
	}
	all = append(all, controllers...)
	for i := range of.fronts {
		all = append(all, frontIP(i))
	}
	for i, machine := range all {
		if i < of.controllers && i%zones == 0 || i >= of.controllers && (i-of.controllers)%zones == 0 {
			zone = append(zone, machine)
		}
	}
	switch a.Kind {
	case actCutFront:
		return between([]string{frontIP(a.Target)}, all)
	case actCutLink:
		return between([]string{frontIP(a.Target)}, controllers[a.Target%of.controllers:][:1])
	case actCutCore:
		return between([]string{controllerIP(a.Target)}, all)
	case actCutBridge:
		return between([]string{controllerIP(a.Target)}, []string{controllerIP((a.Target + 1) % of.controllers)})
	default:
		return between(zone, without(all, zone))
	}
}
