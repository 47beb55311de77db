package rpc

import (
	"io"
	"sync"
)

const (
	// uncountedFrameBytes is the size up to which a frame takes nothing of the memory for frames: heartbeats and most
	// calls are read whatever others send.
	uncountedFrameBytes = 4 << 10
	// frameMemoryDivisor is the part of a process's memory that frames may take, as the divisor of the whole.
	frameMemoryDivisor = 8
	// defaultFrameMemoryBytes is the memory for frames of a process that hasn't called SetFrameMemory.
	defaultFrameMemoryBytes = 32 << 20
)

// frames is the memory for all frames that this process reads, whoever sends them: a process has only one memory.
var frames = newFrameMemory(defaultFrameMemoryBytes)

// SetFrameMemory sets how much memory frames may take in a process that may use so many MiB in all.
func SetFrameMemory(memoryMB int) { frames.setLimit(int64(memoryMB) << 20 / frameMemoryDivisor) }

// DroppedFrames returns how many frames were dropped, with their connections, as there was no memory for them.
func DroppedFrames() uint64 {
	frames.mu.Lock()
	defer frames.mu.Unlock()
	return frames.dropped
}

// frameMemory bounds the memory of the frames that are read and handled, summed over all connections. Where there is none
// left for a frame, the largest one that hasn't arrived whole is dropped with its connection, unless the frame itself is
// larger still.
type frameMemory struct {
	mu      sync.Mutex
	limit   int64 // bytes
	used    int64 // bytes
	holders map[*frameHolder]bool
	dropped uint64
}

// frameHolder is one frame, from its first bytes until it has been handled.
type frameHolder struct {
	memory  *frameMemory
	conn    io.Closer // nil: the frame can't be dropped in favour of another one
	bytes   int64
	arrived bool // whole; it is needed then until it has been handled
	dropped bool
}

func newFrameMemory(limit int64) *frameMemory {
	return &frameMemory{limit: limit, holders: map[*frameHolder]bool{}}
}

func (m *frameMemory) setLimit(limit int64) {
	m.mu.Lock()
	m.limit = limit
	m.mu.Unlock()
}

// newHolder returns the holder of a frame that arrives on a connection.
func (m *frameMemory) newHolder(conn io.Closer) *frameHolder {
	return &frameHolder{memory: m, conn: conn}
}

// grow takes memory until the frame has as many bytes as given, and reports whether it may go on.
func (h *frameHolder) grow(bytes int64) bool {
	if bytes <= uncountedFrameBytes {
		return true
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.dropped {
		return false
	}
	for m.used-h.bytes+bytes > m.limit {
		victim := m.largestUnfinished(h, bytes)
		if victim == nil {
			m.dropped++
			return false
		}
		m.drop(victim)
	}
	m.used += bytes - h.bytes
	h.bytes = bytes
	m.holders[h] = true
	return true
}

// largestUnfinished returns the largest frame that is larger than some bytes and hasn't arrived, nil if there is none.
func (m *frameMemory) largestUnfinished(except *frameHolder, bytes int64) (largest *frameHolder) {
	for h := range m.holders {
		if h == except || h.arrived || h.conn == nil || h.bytes <= bytes {
			continue
		}
		if largest == nil || h.bytes > largest.bytes {
			largest = h
		}
	}
	return largest
}

// drop ends the connection of a frame, which ends the reading of it. The lock is held.
func (m *frameMemory) drop(h *frameHolder) {
	h.dropped = true
	m.dropped++
	m.forget(h)
	h.conn.Close()
}

// forget returns what a frame has taken. The lock is held.
func (m *frameMemory) forget(h *frameHolder) {
	m.used -= h.bytes
	h.bytes = 0
	delete(m.holders, h)
}

// setArrived notes that the frame has arrived whole.
func (h *frameHolder) setArrived() {
	h.memory.mu.Lock()
	h.arrived = true
	h.memory.mu.Unlock()
}

// release returns what the frame has taken, once it has been handled.
func (h *frameHolder) release() {
	h.memory.mu.Lock()
	h.memory.forget(h)
	h.memory.mu.Unlock()
}
