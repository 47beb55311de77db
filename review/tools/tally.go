package main

import (
	"fmt"
	"os"
	"time"
)

// Times of the tally case, counted from the moment at which two of three controllers are killed.
const (
	callAfter   = 20 * time.Millisecond
	backAfter   = 900 * time.Millisecond // within the second that the pages give
	wipedBack   = 1200 * time.Millisecond
	mergeTime   = 3 * time.Second  // bounds.merge_ms
	readingTime = 12 * time.Second // bounds.recovery_s
	tallyName   = "t3"
	baseAdds    = 6
	lateAdds    = 5
	lateAmount  = 100
)

// tallyCase has an add acknowledged while the other two controllers are down for less than a second, and
// then takes the disk of the machine that acknowledged it.
func tallyCase(program string, trouble bool, r *record) int {
	f, err := newFleet(program, 3, "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,apart", r)
	if err != nil {
		r.printf("cannot run: %v", err)
		return exitNotRun
	}
	defer f.close()
	for i := range f.controllers {
		if err := f.startController(i, true); err != nil {
			r.printf("cannot run: %v", err)
			return exitNotRun
		}
	}
	acknowledged, sent := int64(0), int64(0)
	// The first adds, one after the other, each sent again under its id until it is acknowledged.
	for n := range baseAdds {
		id := fmt.Sprintf("%016x", 0xa000+n)
		if !await(15*time.Second, func() bool { return f.add(n%f.controllers, id, 1) == 200 }) {
			r.printf("cannot run: add %s was not acknowledged", id)
			return exitNotRun
		}
		acknowledged, sent = acknowledged+1, sent+1
	}
	for i := range f.controllers {
		if !await(10*time.Second, func() bool { total, ok := f.total(i); return ok && total == acknowledged }) {
			r.printf("cannot run: %s does not read %d", controllerName(i), acknowledged)
			return exitNotRun
		}
	}
	time.Sleep(mergeTime)

	killedAt := time.Now()
	if trouble {
		f.kill(controllerName(1), "controller")
		f.kill(controllerName(2), "controller")
	}
	sleepUntil(killedAt.Add(callAfter))
	statuses := make(chan int, lateAdds)
	for n := range lateAdds {
		id := fmt.Sprintf("%016x", 0xb000+n)
		go func() { statuses <- f.add(0, id, lateAmount) }()
	}
	late := 0
	for range lateAdds {
		sent += lateAmount
		if <-statuses == 200 {
			acknowledged += lateAmount
			late++
		}
	}
	acknowledgedAt := time.Now()
	r.printf("%d of %d adds were acknowledged, %d ms after the kill", late, lateAdds, acknowledgedAt.Sub(killedAt).Milliseconds())
	if trouble {
		f.kill(controllerName(0), "controller")
		if err := os.RemoveAll(f.dataDir(0)); err != nil {
			r.printf("cannot run: %v", err)
			return exitNotRun
		}
		r.printf("the disk of %s is lost", controllerName(0))
		sleepUntil(killedAt.Add(backAfter))
		for _, i := range []int{1, 2} {
			if err := f.startController(i, false); err != nil {
				r.printf("cannot run: %v", err)
				return exitNotRun
			}
		}
		sleepUntil(killedAt.Add(wipedBack))
		if err := f.startController(0, false); err != nil {
			r.printf("cannot run: %v", err)
			return exitNotRun
		}
	}
	if late == 0 {
		r.printf("held: nothing was acknowledged during the trouble")
		return exitHeld
	}
	time.Sleep(mergeTime + readingTime)
	code := exitHeld
	for i := range f.controllers {
		var total int64
		if !await(readingTime, func() (ok bool) { total, ok = f.total(i); return ok }) {
			r.printf("BROKEN at %s: the tally cannot be read", controllerName(i))
			code = exitBroken
			continue
		}
		switch {
		case total < acknowledged:
			r.printf("BROKEN at %s: the tally reads %d, acknowledged were %d", controllerName(i), total, acknowledged)
			code = exitBroken
		case total > sent:
			r.printf("BROKEN at %s: the tally reads %d, sent were %d", controllerName(i), total, sent)
			code = exitBroken
		default:
			r.printf("%s reads %d, acknowledged were %d", controllerName(i), total, acknowledged)
		}
	}
	return code
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// add sends one add to a controller and returns the status of the answer.
func (f *fleet) add(controller int, id string, by int64) int {
	body := fmt.Sprintf(`{"id":%q,"by":%d}`, id, by)
	began := time.Now()
	status, _ := call("POST", "http://"+f.controlAddr(controller)+"/v1/tallies/"+tallyName, nil, body)
	f.record.printf("POST /v1/tallies/%s %s at %s: %d after %d ms", tallyName, body, controllerName(controller), status, time.Since(began).Milliseconds())
	return status
}

// total reads the tally at a controller.
func (f *fleet) total(controller int) (total int64, ok bool) {
	status, answer := call("GET", "http://"+f.controlAddr(controller)+"/v1/tallies/"+tallyName, nil, "")
	var reply struct {
		Total int64 `json:"total"`
	}
	if status != 200 || !decode(answer, &reply) {
		return 0, false
	}
	f.record.printf("GET /v1/tallies/%s at %s: %d", tallyName, controllerName(controller), reply.Total)
	return reply.Total, true
}
