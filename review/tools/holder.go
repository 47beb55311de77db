package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// The holder case.
const (
	leaseTime   = 3 * time.Second // bounds.lease_ms
	fronts      = 3
	coreDown    = 400 * time.Millisecond // within the second that the pages give
	frontDown   = 1500 * time.Millisecond
	holderRound = 3 // new weights are named, and the disruption comes, as often as this
)

// holderCase kills the machine that gives a model's orders, and the core while its successor waits for
// the time after which it may give orders.
func holderCase(program string, trouble bool, r *record) int {
	f, err := newFleet(program, 3, "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places", r)
	if err != nil {
		r.printf("cannot run: %v", err)
		return exitNotRun
	}
	defer f.close()
	s, stop, err := newSearcher("i-1", fmt.Sprintf("%s:%d", searcherIP(0), f.ports.engine), zones[0], r)
	if err != nil {
		r.printf("cannot run: %v", err)
		return exitNotRun
	}
	defer stop()
	stopList, err := servePlatform(f.listAddr(), []*searcher{s})
	if err != nil {
		r.printf("cannot run: %v", err)
		return exitNotRun
	}
	defer stopList()
	if err := f.startAll(fronts); err != nil {
		r.printf("cannot run: %v", err)
		return exitNotRun
	}
	if !f.putConfiguration(configuration) || !await(20*time.Second, func() bool { return f.allReady(fronts) }) {
		r.printf("cannot run: the fleet did not become ready")
		return exitNotRun
	}
	time.Sleep(2 * time.Second)
	version := int64(1)
	for range holderRound {
		if code := f.holderRound(s, &version, trouble); code != exitHeld {
			return code
		}
		time.Sleep(5 * time.Second) // past a lease, and past contact_ms
	}
	return judgeHolders(s, r)
}

// holderRound names new weights twice; between the two the disruption comes.
func (f *fleet) holderRound(s *searcher, version *int64, trouble bool) int {
	for len(s.ordered) > 0 {
		<-s.ordered
	}
	*version++
	if !f.nameVersion(*version) {
		return exitNotRun
	}
	var first order
	select {
	case first = <-s.ordered:
	case <-time.After(20 * time.Second):
		f.record.printf("cannot run: no order was given")
		return exitNotRun
	}
	giver := machineOf(first.Holder)
	before := f.holder()
	*version++
	if !f.nameVersion(*version) {
		return exitNotRun
	}
	if trouble {
		f.kill(giver, "agent")
		f.kill(giver, "proxy")
		back := time.Now().Add(frontDown)
		if await(5*time.Second, func() bool { h := f.holder(); return h != "" && h != before }) {
			f.record.printf("the successor is %s", f.holder())
		}
		if os.Getenv("CORE") != "0" { // CORE=0 leaves the core alone: the successor then waits as it has to
			time.Sleep(150 * time.Millisecond)
			for i := range f.controllers {
				f.kill(controllerName(i), "controller")
			}
			time.Sleep(coreDown)
			for i := range f.controllers {
				if err := f.startController(i, false); err != nil {
					f.record.printf("cannot run: %v", err)
					return exitNotRun
				}
			}
		}
		sleepUntil(back)
		for i := range fronts {
			if frontName(i) == giver {
				if err := f.startFront(i); err != nil {
					f.record.printf("cannot run: %v", err)
					return exitNotRun
				}
			}
		}
	}
	if !await(30*time.Second, func() bool { return s.version() == *version }) {
		f.record.printf("cannot run: the weights did not come")
		return exitNotRun
	}
	return exitHeld
}

// machineOf returns the machine in a holder's name: one machine makes one holder.
func machineOf(holder string) string {
	machine, _, _ := strings.Cut(holder, "/")
	return machine
}

// judgeHolders holds the orders that the searcher received to the rule.
func judgeHolders(s *searcher, r *record) int {
	code, machines := exitHeld, map[uint64]string{}
	orders := s.taken()
	for i, o := range orders {
		machine := machineOf(o.Holder)
		if other, known := machines[o.Fence]; known && other != machine {
			r.printf("BROKEN: %s and %s share the fence %d", other, machine, o.Fence)
			code = exitBroken
		}
		machines[o.Fence] = machine
		if i == 0 {
			continue
		}
		last := orders[i-1]
		if o.Fence < last.Fence {
			r.printf("BROKEN: fence %d follows %d", o.Fence, last.Fence)
			code = exitBroken
		}
		if gap := o.At.Sub(last.At); machineOf(last.Holder) != machine && gap < leaseTime {
			r.printf("BROKEN: %s gives an order %d ms after %s did, within lease_ms of %d ms",
				machine, gap.Milliseconds(), machineOf(last.Holder), leaseTime.Milliseconds())
			code = exitBroken
		} else if machineOf(last.Holder) != machine {
			r.printf("%s gives an order %d ms after %s did", machine, gap.Milliseconds(), machineOf(last.Holder))
		}
	}
	r.printf("%d orders in all", len(orders))
	return code
}
