package fleetdemo

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of the troubles of a play of configurations.
const (
	troubleLeastGap  = time.Second
	troubleMostGap   = 3 * time.Second
	coreInterval     = 4 * time.Second // between two troubles of controllers
	diskLossInterval = 8 * time.Second // around the loss of a disk, in which its contents are replicated
	shortTrouble     = 300 * time.Millisecond
	longTrouble      = 1500 * time.Millisecond
	fullDiskBytes    = 1 // to which a full disk limits files
	termGrace        = 4 * time.Second
)

// configTrouble is a kind of trouble of one machine.
type configTrouble struct {
	kind string
	core bool
	play func(p *configPlay, machine int, length time.Duration)
}

var configTroubles = []configTrouble{
	{"killed", true, func(p *configPlay, i int, length time.Duration) {
		p.world.kill(controllerProcess(i))
		time.Sleep(length)
		p.world.startController(i, false)
	}},
	{"told to end", true, func(p *configPlay, i int, length time.Duration) {
		p.world.endProcesses(termGrace, controllerProcess(i))
		time.Sleep(length)
		p.world.startController(i, false)
	}},
	{troubleFrozen, true, func(p *configPlay, i int, length time.Duration) { p.freeze(length, controllerProcess(i)) }},
	{"disk full", true, func(p *configPlay, i int, length time.Duration) {
		p.limitFiles(controllerProcess(i), fullDiskBytes)
		time.Sleep(length)
		p.limitFiles(controllerProcess(i), unix.RLIM_INFINITY)
	}},
	{"disk lost", true, func(p *configPlay, i int, length time.Duration) {
		p.world.kill(controllerProcess(i))
		p.world.loseDisk(i)
		time.Sleep(length)
		p.world.startController(i, false)
	}},
	{"killed", false, func(p *configPlay, i int, length time.Duration) {
		p.world.endProcesses(0, frontProcess(i, "agent"), frontProcess(i, "proxy"))
		time.Sleep(length)
		p.world.startFront(i)
	}},
	{"told to end", false, func(p *configPlay, i int, length time.Duration) {
		p.world.endProcesses(termGrace, frontProcess(i, "agent"), frontProcess(i, "proxy"))
		time.Sleep(length)
		p.world.startFront(i)
	}},
	{troubleFrozen, false, func(p *configPlay, i int, length time.Duration) {
		p.freeze(length, frontProcess(i, "agent"), frontProcess(i, "proxy"))
	}},
}

// troubleFrozen is the one trouble of a front that its processes survive.
const troubleFrozen = "frozen"

// finalFault is the trouble of all machines at the end of a play.
const finalFault = "final fault"

// frontProcess returns the name of a process of a front.
func frontProcess(i int, program string) string { return fmt.Sprintf("front-%d-%s", i+1, program) }

// makeTrouble plays troubles until done is closed, and waits for their end. A machine is in one trouble at a time,
// one controller at a time.
func (p *configPlay) makeTrouble(done chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	busy := make([]sync.Mutex, p.world.size.fronts)
	coreFreeAt := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(troubleLeastGap + time.Duration(p.random.Int64N(int64(troubleMostGap-troubleLeastGap)))):
		}
		trouble := configTroubles[p.random.IntN(len(configTroubles))]
		length := shortTrouble + time.Duration(p.random.Int64N(int64(longTrouble-shortTrouble)))
		if trouble.core {
			if time.Now().Before(coreFreeAt) {
				continue
			}
			coreFreeAt = time.Now().Add(length + coreInterval)
			if trouble.kind == "disk lost" {
				coreFreeAt = time.Now().Add(length + diskLossInterval)
			}
			running.Go(func() { p.playTrouble(&trouble, p.random.IntN(p.options.Controllers), length) })
			running.Wait() // machine numbers are drawn in order
			continue
		}
		front := p.random.IntN(p.world.size.fronts)
		if busy[front].TryLock() {
			running.Go(func() {
				defer busy[front].Unlock()
				p.playTrouble(&trouble, front, length)
			})
		}
	}
}

// playTrouble plays and records one trouble.
func (p *configPlay) playTrouble(trouble *configTrouble, machine int, length time.Duration) {
	list := &p.record.Fronts
	if trouble.core {
		list = &p.record.Cores
	}
	p.mu.Lock()
	number := len(*list)
	now := time.Now()
	*list = append(*list, machineTrouble{span{now, now.Add(time.Hour)}, machine, trouble.kind})
	p.mu.Unlock()
	trouble.play(p, machine, length)
	p.mu.Lock()
	defer p.mu.Unlock()
	(*list)[number].To = time.Now()
}

// loseAllProcesses kills all processes at once; one controller, drawn at random, loses its disk. All start again.
func (p *configPlay) loseAllProcesses() {
	p.mu.Lock()
	now := time.Now()
	for i := range p.world.size.fronts {
		p.record.Fronts = append(p.record.Fronts, machineTrouble{span{now, now.Add(time.Hour)}, i, finalFault})
	}
	p.record.Cores = append(p.record.Cores, machineTrouble{span{now, now.Add(time.Hour)}, 0, finalFault})
	p.mu.Unlock()
	p.world.endProcesses(0, p.world.names()...)
	p.world.loseDisk(p.random.IntN(p.options.Controllers))
	for i := range p.options.Controllers {
		p.world.startController(i, false)
	}
	for i := range p.world.size.fronts {
		p.world.startFront(i)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, troubles := range [][]machineTrouble{p.record.Fronts, p.record.Cores} {
		for i := range troubles {
			if troubles[i].Kind == finalFault {
				troubles[i].To = time.Now()
			}
		}
	}
}

// freeze stops processes for a time.
func (p *configPlay) freeze(length time.Duration, names ...string) {
	for _, name := range names {
		if running := p.world.process(name); running != nil {
			running.command.Process.Signal(syscall.SIGSTOP)
			defer running.command.Process.Signal(syscall.SIGCONT)
		}
	}
	time.Sleep(length)
}

// limitFiles limits the size of the files that a process may write, as a full disk would.
func (p *configPlay) limitFiles(name string, bytes uint64) {
	if running := p.world.process(name); running != nil {
		unix.Prlimit(running.command.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}, nil)
	}
}
