package capacity

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/learnt"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

func init() { sources = append(sources, listCurves) }

// The sizes of curves over searchers: up to those of the plan, and for the quick form. None is another's double: a map doubles
// what it holds at steps, and sizes that all stand at the same place between two of these give a slope of that place alone.
var (
	fleetSizes = []int{370, 1156, 3700, 11563, 20000, 37000}
	quickSizes = []int{230, 540, 1100, 1900, 3700}
)

// holders is how many searchers hold a part where that is not what is varied.
const holders = 4

// member writes one member of the list as discovery does. Cells are filled in turn, zones too.
func member(i, cells int, status string, since int64) string {
	return fmt.Sprintf(`{"name":"searcher-%05d","address":"10.%d.%d.%d:18101","zone":"zone-%d","type":"any","group":%d,"status":"%s","weight":1.0,"since_ms":%d}`,
		i, i>>16, i>>8&255, i&255, i%int(ZonesAll), i%cells, status, since)
}

// whole writes the whole list of so many searchers, all of them warm.
func whole(searchers, cells int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"index":1,"snapshot":true,"endpoints":[`)
	for i := range searchers {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(member(i, cells, "SERVING", 1700000000123))
	}
	b.WriteString("]}\n")
	return b.Bytes()
}

// change writes the message of one searcher that has changed.
func change(i, cells int, status string) []byte {
	return []byte(`{"index":2,"snapshot":false,"endpoints":[` + member(i, cells, status, 1790000000123) + "]}\n")
}

// cellsOf gives how many cells there are, of so many holders each.
func cellsOf(searchers int) int { return max(1, searchers/holders) }

// Terms is what a mixer of the plan is told; what the plan does not name is as in example/config.json.
func Terms(cells int) mixer.Config {
	return mixer.Config{
		Tariffs: []mixer.Tariff{{Expected: int64(Answer * 1e9), Patience: int64(Answer * 1e9), CompleteFrom: 1, LeastShare: 1}},
		Zone:    "zone-0", Mixers: Mixers, Cells: cells, Reach: 1, PerCall: 4, MaxForwards: 3, MayCopy: true, MayCancel: true,
		ColdFrom: coldFrom, ColdFor: int64(coldFor * 1e9), FallMultiple: fallMultiple, FallFor: int64(fallFor * 1e9),
	}
}

// read reads one message of the list as the watch does, through its bound of a message.
func read(raw []byte) (protocol.MemberList, error) {
	return protocol.NewMemberListReader(bytes.NewReader(raw), lineMost).Next()
}

// lineMost is the most that a message of the list may have, in bytes.
var lineMost = func() int {
	l, _ := charter.Settings{}.Limits(mixer.Config{})
	return l.MaxListMessageBytes
}()

// listCurves. What reading a list allocates is by member: members are gathered in pieces and joined once. What the module is told of a
// list in one hold of its lock is the same at any size, which is the claim; how long that takes is printed.
func listCurves() []Curve {
	return []Curve{{
		Role: "mixer", Of: "searchers", Plan: Searchers, Sizes: fleetSizes, Quick: quickSizes, Play: playList,
		Quantities: []Quantity{
			{Name: "list: bytes of the whole", Unit: "B", Form: Affine, Deterministic: true, Known: listBytes},
			{Name: "list: reading it whole, allocations", Unit: "1", Form: Affine, Deterministic: true, Known: listAllocations},
			{Name: "list: reading it whole, bytes allocated", Unit: "B", Form: Affine, Deterministic: true, Known: listAllocated},
			{Name: "list: reading it whole", Unit: "s", Form: Power, Known: listTime},
			{Name: "list: bytes of one change", Unit: "B", Form: Flat, Deterministic: true, Known: changeBytes},
			{Name: "list: reading one change, allocations", Unit: "1", Form: Flat, Deterministic: true, Known: changeAllocations},
			{Name: "list: reading one change", Unit: "s", Form: Flat, Known: changeTime},
		},
	}, {
		Role: "mixer", Of: "searchers", Plan: Searchers, Sizes: fleetSizes, Quick: quickSizes, Play: playState,
		Quantities: []Quantity{
			{Name: "module: bytes held", Unit: "B", Form: Affine, Deterministic: true, Known: moduleHeld},
			{Name: "connections' table: bytes held", Unit: "B", Form: Affine, Deterministic: true, Known: tableHeld},
			{Name: "watch: bytes held", Unit: "B", Form: Affine, Deterministic: true, Known: watchHeld},
			{Name: "module: whole list first, allocations", Unit: "1", Form: Affine, Deterministic: true, Known: firstAllocations},
			{Name: "module: whole list first, in all", Unit: "s", Form: Power, Known: firstTime},
			{Name: "module: whole list first, rows under one hold of the lock", Unit: "1", Form: Flat, Deterministic: true, Known: holdRows},
			{Name: "module: whole list first, longest hold of the lock", Unit: "s", Form: Power, Known: firstHold},
			{Name: "module: whole list again, in all", Unit: "s", Form: Power, Known: againTime},
			{Name: "module: whole list again, rows under the lock", Unit: "1", Form: Flat, Deterministic: true},
			{Name: "module: whole list, a seventh changed, rows under the lock", Unit: "1", Form: Affine, Deterministic: true, Known: changedRows},
			{Name: "module: whole list, a seventh changed, longest hold of the lock", Unit: "s", Form: Power, Known: changedHold},
			{Name: "module: one change, allocations", Unit: "1", Form: Flat, Deterministic: true},
			{Name: "module: one change, under the lock", Unit: "s", Form: Flat, Known: oneTime},
		},
	}, {
		Role: "mixer", Of: "searchers", Plan: Searchers, Sizes: fleetSizes, Quick: quickSizes, Play: playLearnt,
		Quantities: []Quantity{
			{Name: "learnt: bytes of the file", Unit: "B", Form: Affine, Deterministic: true, Known: learntBytes},
			{Name: "learnt: gathering under the lock", Unit: "s", Form: Power, Known: keepTime},
		},
	}}
}

// playList reads a whole list and one change of it.
func playList(size int) ([]float64, error) {
	raw, one := whole(size, cellsOf(size)), change(size/2, cellsOf(size), "DRAINING")
	var list protocol.MemberList
	var err error
	allocations, bytes, took := best(3, func() { list, err = read(raw) })
	if err != nil || len(list.Members) != size || len(list.Skipped) > 0 {
		return nil, fmt.Errorf("list: %d members, %d skipped, %v", len(list.Members), len(list.Skipped), err)
	}
	const times = 200
	few, _, short := best(3, func() {
		for range times {
			list, err = read(one)
		}
	})
	if err != nil || len(list.Members) != 1 {
		return nil, fmt.Errorf("change: %d members, %v", len(list.Members), err)
	}
	return []float64{float64(len(raw)), allocations, bytes, took.Seconds(), float64(len(one)), few / times,
		short.Seconds() / times}, nil
}

// best does something several times, and after each time what else is given: the least of what it allocates and how long it
// takes, since what runs beside only adds.
func best(times int, do func(), after ...func()) (allocations, bytes float64, took time.Duration) {
	for i := range times {
		a, b, t := Allocated(do)
		for _, then := range after {
			then()
		}
		if i == 0 {
			allocations, bytes, took = a, b, t
		}
		allocations, bytes, took = min(allocations, a), min(bytes, b), min(took, t)
	}
	return allocations, bytes, took
}

// router makes one that knows a list.
func router(c mixer.Config, rows []routing.Entry) (*routing.Router, error) {
	r, err := routing.New(c, map[string]int{"all": 0}, 1<<20, 1, slog.New(slog.DiscardHandler))
	if err == nil {
		r.Listed(rows, true)
	}
	return r, err
}

// playState gives a list to the module in its router, to the table of connections and to the watch, and changes one member.
func playState(size int) ([]float64, error) {
	cells := cellsOf(size)
	list, err := read(whole(size, cells))
	if err != nil {
		return nil, err
	}
	one, err := read(change(size/2, cells, "DRAINING"))
	if err != nil {
		return nil, err
	}
	rows, changed := list.Entries(), one.Entries()
	r, held := Held(func() *routing.Router {
		r, _ := router(Terms(cells), rows)
		return r
	})
	closeTable, connections := heldByTable(list)
	defer closeTable()
	watch, err := heldByWatch(size)
	if err != nil {
		return nil, err
	}
	var fresh *routing.Router
	var told routing.Batches
	firstHeld := time.Hour
	first, _, firstTook := best(5, func() { fresh, err = router(Terms(cells), rows) }, func() {
		told = fresh.Batches()
		firstHeld = min(firstHeld, told.Held)
	})
	if err != nil || told.Rows != size {
		return nil, fmt.Errorf("the first list: %+v, %v", told, err)
	}
	_, _, againTook := best(3, func() { r.Listed(rows, true) })
	again, changedHeld := r.Batches(), time.Hour
	turn := slices.Clone(rows)
	for i := 0; i < size; i += 7 {
		turn[i].Started++
	}
	best(5, func() { r.Listed(turn, true) }, func() {
		changedHeld = min(changedHeld, r.Batches().Held)
		for i := 0; i < size; i += 7 {
			turn[i].Started++
		}
	})
	turned := r.Batches()
	const times = 200
	few, _, took := best(3, func() {
		for range times {
			r.Listed(changed, false)
		}
	})
	runtime.KeepAlive(list) // what all of them share is counted by none but the watch, which reads it anew
	return []float64{held, connections, watch, first, firstTook.Seconds(), float64(told.Most), firstHeld.Seconds(), againTook.Seconds(),
		float64(again.Rows), float64(turned.Rows), changedHeld.Seconds(), few / times, took.Seconds() / times}, nil
}

// playLearnt writes what a module has learnt once each searcher has answered.
func playLearnt(size int) ([]float64, error) {
	cells := cellsOf(size)
	list, err := read(whole(size, cells))
	if err != nil {
		return nil, err
	}
	r, err := router(Terms(cells), list.Entries())
	if err != nil {
		return nil, err
	}
	k := mixer.Snapshot{Fleet: mixer.Pace{Took: 8.123456789e9, Calls: 1000.123456789}}
	for i, m := range list.Members {
		k.Process = append(k.Process, mixer.Pace{Searcher: m.Searcher, Started: m.Started,
			Took: 8.123456789e6 * (1 + float64(i%97)/97), Calls: 1 + float64(i%89)/89})
	}
	at := time.Now()
	if met := r.Resume(at, k); met != size {
		return nil, fmt.Errorf("learnt: %d of %d met again", met, size)
	}
	_, _, took := best(3, func() { at, k = r.Keep() })
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "learnt")
	if err := learnt.Write(path, at, learnt.LayoutOf(Terms(cells)), k); err != nil {
		return nil, err
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	return []float64{float64(info.Size()), took.Seconds()}, nil
}
