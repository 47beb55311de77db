// Package memlimit bounds the memory that a process holds for data of its peers, summed over all connections. A
// bound on each connection alone says nothing about the sum: a peer, or many, may open as many as the process
// accepts.
package memlimit

import (
	"io"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// peerDataDivisor is the part of a process's memory that data of peers may take, as the divisor of the whole.
// The rest is for the process's own state and for the garbage that its collector hasn't freed yet.
const peerDataDivisor = 4

// UncountedBytes is how much an account may have without taking it from its budget: what is small is read whatever others
// hold.
const UncountedBytes = 8 << 10

// ErrExhausted means that the memory for data of peers is in use.
var ErrExhausted = merry.New("memory for data of peers is exhausted")

// ErrTooLong means that a text has more bytes than its reader allows.
var ErrTooLong = merry.New("text is too long")

// Budget is a number of bytes that its users take and return. It is safe for concurrent use. A nil Budget has no
// bound.
type Budget struct {
	limit     int64
	used      atomic.Int64
	exhausted atomic.Uint64
}

// New returns a budget of a number of bytes.
func New(bytes int64) *Budget { return &Budget{limit: bytes} }

// ForPeers returns the budget for data of peers of a process that may use so many MiB in all, 0 if that isn't known:
// there is no bound then.
func ForPeers(memoryMB int) *Budget {
	if memoryMB <= 0 {
		return nil
	}
	return New(int64(memoryMB) << 20 / peerDataDivisor)
}

// largestTakeDivisor is the part of what is left that may be taken at once, as its divisor. So what is large finds no memory
// first, and what is small finds some while large things hold the rest.
const largestTakeDivisor = 2

// Take takes bytes, and reports whether it could: they may be half of what is left at most.
func (b *Budget) Take(bytes int64) bool {
	if b == nil {
		return true
	}
	for {
		used := b.used.Load()
		if bytes > (b.limit-used)/largestTakeDivisor {
			b.exhausted.Add(1)
			return false
		}
		if b.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// Return gives back bytes that were taken.
func (b *Budget) Return(bytes int64) {
	if b != nil {
		b.used.Add(-bytes)
	}
}

// Limit returns how many bytes there are in all, 0 without a bound.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Used returns how many bytes are taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Exhausted returns how often bytes were wanted that were not left.
func (b *Budget) Exhausted() uint64 {
	if b == nil {
		return 0
	}
	return b.exhausted.Load()
}

// Account is what one user has taken of a budget. It is not safe for concurrent use; its zero value has no budget
// and no bound.
type Account struct {
	budget *Budget
	taken  int64
}

// NewAccount returns an account that has taken nothing yet.
func (b *Budget) NewAccount() Account { return Account{budget: b} }

// Resize takes or returns bytes so that the account has taken as many as given, and reports whether it could. It
// changes nothing if it couldn't. Up to UncountedBytes it always can.
func (a *Account) Resize(bytes int64) bool {
	if bytes <= UncountedBytes {
		bytes = 0
	}
	more := bytes - a.taken
	if more > 0 && !a.budget.Take(more) {
		return false
	}
	if more < 0 {
		a.budget.Return(-more)
	}
	a.taken = bytes
	return true
}

// Close returns all that the account has taken.
func (a *Account) Close() { a.Resize(0) }

// ReadOptions say how a text is read.
type ReadOptions struct {
	MaxBytes     int64 // of the text
	InitialBytes int   // that are made room for at first; the room doubles from there
	Weight       int64 // bytes that are taken for each byte of room: what the text becomes later counts too
}

// ReadAll reads a text to its end, and takes memory for it as it grows. It fails with ErrTooLong or ErrExhausted. The
// account keeps what it has taken.
func (a *Account) ReadAll(reader io.Reader, o ReadOptions) (text []byte, err error) {
	for {
		if len(text) == cap(text) {
			room := max(o.InitialBytes, 2*cap(text))
			if !a.Resize(int64(room) * o.Weight) {
				return nil, ErrExhausted
			}
			text = append(make([]byte, 0, room), text...)
		}
		n, err := reader.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		switch {
		case int64(len(text)) > o.MaxBytes:
			return nil, ErrTooLong
		case err == io.EOF:
			return text, nil
		case err != nil:
			return nil, err
		}
	}
}
