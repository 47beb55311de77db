package desk

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
)

// Rank is the place of a lock in the one order: a goroutine takes only locks of a higher rank than all that it holds.
type Rank int

// Ranks, in the order in which locks are taken.
const (
	RankDesk  Rank = 100  // what is to be done, and for whom
	RankTable Rank = 1000 // of the first table; each has the next
	RankLeaf  Rank = 9000 // locks within a table, under which nothing else is taken
)

// plain is the Mutex of ordinary builds: a sync.Mutex, whose rank is not even kept.
type plain struct{ sync.Mutex }

func (*plain) ranked(Rank, string) {}

// checked is the Mutex of builds with the tag lockorder: it keeps which locks each goroutine holds, and panics where one is taken
// out of order, also where no other goroutine is there to lock up with.
type checked struct {
	mu   sync.Mutex
	rank Rank
	name string
}

func (m *checked) ranked(r Rank, name string) { m.rank, m.name = r, name }

// holders are the locks that goroutines hold, in the order taken. An entry ends with its last lock.
var holders = struct {
	sync.Mutex
	of map[int64][]*checked
}{of: map[int64][]*checked{}}

// Lock takes the lock, or panics where the order forbids it.
func (m *checked) Lock() {
	m.enter()
	m.mu.Lock()
}

// TryLock takes the lock if it is free. The order holds for it too: what it takes is held while others are taken.
func (m *checked) TryLock() bool {
	m.enter()
	if !m.mu.TryLock() {
		m.leave()
		return false
	}
	return true
}

// Unlock gives the lock back. It is for the goroutine that took it.
func (m *checked) Unlock() {
	m.leave()
	m.mu.Unlock()
}

func (m *checked) enter() {
	g := goroutine()
	holders.Lock()
	defer holders.Unlock()
	for _, h := range holders.of[g] {
		if h.rank >= m.rank {
			panic(fmt.Sprintf("lock order: %q of rank %d is taken while %q of rank %d is held", m.name, m.rank, h.name, h.rank))
		}
	}
	holders.of[g] = append(holders.of[g], m)
}

func (m *checked) leave() {
	g := goroutine()
	holders.Lock()
	defer holders.Unlock()
	held := holders.of[g]
	for i := len(held) - 1; i >= 0; i-- {
		if held[i] == m {
			if held = append(held[:i:i], held[i+1:]...); len(held) == 0 {
				delete(holders.of, g)
			} else {
				holders.of[g] = held
			}
			return
		}
	}
	panic(fmt.Sprintf("lock order: %q is given back by a goroutine that does not hold it", m.name))
}

// goroutine gives the number of the one that runs. The runtime shows it in a stack's first line only, which is slow: it is for
// checks alone.
func goroutine() int64 {
	var b [64]byte
	line := bytes.TrimPrefix(b[:runtime.Stack(b[:], false)], []byte("goroutine "))
	n, err := strconv.ParseInt(string(line[:max(0, bytes.IndexByte(line, ' '))]), 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}
