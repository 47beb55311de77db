package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"nettlefold/internal/fleet/control"
)

// order is what the rig tells a process of hollow mixers, one JSON line each; each gets one line back.
type order struct {
	Do      string // start, end, count, drain, scene, figures
	Mixers  []int
	Crash   bool
	Version control.Stamp // of count
}

// reply answers an order.
type reply struct {
	Error          string
	Running        int
	There          int // of those that run: the version or a later one is in force
	Rejected       int // of those that run: the version was rejected
	Element, Value string
	Events         []event
	Figures        figures
}

// figures are what a process and its mixers have used. Bytes are payload since the scene began.
type figures struct {
	CPU        time.Duration // of the process, since its start, the system's part too
	Resident   int64         // bytes
	Heap       int64         // bytes in use
	Goroutines int
	Files      int
	In, Out    int64
	Most       int64 // in and out of the mixer with the most
	Peak       int64 // in and out of a mixer in its greatest second
	PeakTen    int64 // and in its greatest ten
	Dials      int64 // since the start
}

// Hollow is a process of hollow mixers. It ends with its input.
func Hollow(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 16<<20)
	if !lines.Scan() {
		return fmt.Errorf("no plan was told: %w", io.ErrUnexpectedEOF)
	}
	var s spec
	if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
		return err
	}
	h, err := newHerd(s, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn})))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go h.seconds(ctx)
	buffered := bufio.NewWriterSize(out, 1<<20)
	told := json.NewEncoder(buffered)
	for lines.Scan() {
		var o order
		if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
			return err
		}
		if err := told.Encode(h.obey(o)); err != nil {
			return err
		}
		if err := buffered.Flush(); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (h *herd) obey(o order) (r reply) {
	switch o.Do {
	case "start":
		if err := h.start(o.Mixers); err != nil {
			r.Error = err.Error()
		}
		return r
	case "end":
		h.end(o.Mixers, o.Crash)
		return r
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch o.Do {
	case "count":
		for _, m := range h.mixers {
			if m.stop == nil {
				continue
			}
			r.Running++
			if m.inForce.Compare(o.Version) >= 0 {
				r.There++
			}
			if m.rejected == o.Version {
				r.Rejected++
			}
		}
		r.Element, r.Value = h.element, h.value
	case "drain":
		r.Events, h.events = h.events, nil
	case "scene":
		for _, m := range h.mixers {
			in, out := m.bytes()
			m.base, m.peak, m.peakTen = in+out, 0, 0
		}
		fallthrough
	case "figures":
		r.Figures = h.figures()
	default:
		r.Error = "no such order: " + o.Do
	}
	return r
}

func (h *herd) figures() (f figures) {
	f.CPU = spentHere()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	f.Heap, f.Goroutines = int64(m.HeapInuse), runtime.NumGoroutine()
	_, f.Resident, f.Files = used(os.Getpid())
	for _, m := range h.mixers {
		in, out := m.bytes()
		f.In, f.Out = f.In+in, f.Out+out
		f.Most, f.Peak = max(f.Most, in+out-m.base), max(f.Peak, m.peak)
		f.PeakTen = max(f.PeakTen, m.peakTen)
		if m.wires != nil {
			f.Dials += m.wires.dials.Load()
		}
	}
	return f
}

// machine gives the processor time that all of this machine's processes have spent since its start.
func machine() time.Duration {
	raw, _ := os.ReadFile("/proc/stat")
	line, _, _ := strings.Cut(string(raw), "\n")
	ticks := int64(0)
	for i, f := range strings.Fields(line) {
		if n, err := strconv.ParseInt(f, 10, 64); err == nil && i != 4 && i != 5 && i <= 8 { // idle, waiting; guests count twice
			ticks += n
		}
	}
	return time.Duration(ticks) * (time.Second / 100)
}

// used gives what a process of this machine has used, as /proc tells it: processor time since its start, memory and open files.
func used(pid int) (cpu time.Duration, resident int64, files int) {
	dir := "/proc/" + strconv.Itoa(pid)
	if raw, err := os.ReadFile(dir + "/stat"); err == nil {
		_, rest, _ := strings.Cut(string(raw), ") ")
		if f := strings.Fields(rest); len(f) > 21 {
			user, _ := strconv.ParseInt(f[11], 10, 64)
			system, _ := strconv.ParseInt(f[12], 10, 64)
			pages, _ := strconv.ParseInt(f[21], 10, 64)
			cpu, resident = time.Duration(user+system)*(time.Second/100), pages*int64(os.Getpagesize())
		}
	}
	if all, err := os.ReadDir(dir + "/fd"); err == nil {
		files = len(all)
	}
	return cpu, resident, files
}

// halted tells which thread of a process still runs after SIGSTOP: on a busy machine that takes a while.
func halted(pid int) error {
	threads, err := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/task/*/stat")
	if err != nil || len(threads) == 0 {
		return fmt.Errorf("process %d is not there (%v)", pid, err)
	}
	for _, path := range threads {
		raw, _ := os.ReadFile(path)
		if _, rest, _ := strings.Cut(string(raw), ") "); !strings.HasPrefix(rest, "T") {
			return fmt.Errorf("%s: %.20s", path, rest)
		}
	}
	return nil
}
