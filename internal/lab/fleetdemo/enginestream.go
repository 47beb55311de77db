package fleetdemo

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// silenceLimit is how long an engine that has fallen silent keeps a connection that its proxy doesn't close.
	silenceLimit = 3 * time.Second
	// readFloodPause is the time between two writes of a flood whose bytes reach clients, which keep them.
	readFloodPause = 30 * time.Millisecond
	// maxPieces is how many pieces an answer is written in, at most.
	maxPieces = 60
)

// answer streams the events of a request that begins to run.
func (e *engine) answer(w http.ResponseWriter, r *http.Request, id, life string, run int) {
	form, ending := plainForm, streamEnding{framing: framingChunked, end: endWhole}
	if e.fleet.streams != nil {
		form, ending = e.fleet.streams(id, run)
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	head := http.Header{"X-Request-Id": {id}, "X-Response-Seal": {life + "/" + id}, "Content-Type": {"text/event-stream"}}
	if ending.regular() {
		e.answerRegularly(w, r, head, form, id, last)
		return
	}
	if ending.end != endWhole {
		e.fleet.log.brokeOff(id, ending)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	e.answerByHand(conn, life, head, form, ending, id, last)
}

// answerRegularly streams all events in chunks, one at a time.
func (e *engine) answerRegularly(w http.ResponseWriter, r *http.Request, head http.Header, form streamForm, id string, last int) {
	for name, values := range head {
		w.Header()[name] = values
	}
	for number := last + 1; number <= form.events; number++ {
		io.WriteString(w, form.event(id, number))
		http.NewResponseController(w).Flush()
		if !e.work(r, eventGap) {
			return
		}
	}
}

// answerByHand writes an answer to a connection as its ending says, for as long as a life of the engine lasts.
func (e *engine) answerByHand(conn net.Conn, life string, head http.Header, form streamForm, ending streamEnding, id string, last int) {
	switch ending.framing {
	case framingChunked:
		head.Set("Transfer-Encoding", "chunked")
	case framingLength:
		head.Set("Content-Length", strconv.Itoa(len(form.text(id, last))))
	default:
		head.Set("Connection", "close")
	}
	var lines strings.Builder
	lines.WriteString("HTTP/1.1 200 OK\r\n")
	head.Write(&lines)
	if ending.end == endHeadFlood {
		e.flood(conn, life, lines.String()+"X-Long: ", strings.Repeat("y", floodBlockBytes), 0)
		return
	}
	if _, err := io.WriteString(conn, lines.String()+"\r\n"); err != nil {
		return
	}
	for _, piece := range splitStream(ending.sent(form, id, last), id, ending.pieces) {
		if e.standStill() != life {
			reset(conn.(*net.TCPConn))
			return
		}
		if ending.framing == framingChunked {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
		time.Sleep(eventGap / 2)
	}
	switch ending.end {
	case endWhole:
		if ending.framing == framingChunked {
			io.WriteString(conn, "0\r\n\r\n")
		}
	case endReset:
		reset(conn.(*net.TCPConn))
	case endCommentFlood, endEventFlood:
		first, again := "", strings.Repeat(comment+"\n\n", floodBlockBytes/len(comment))
		if ending.end == endEventFlood {
			first, again = floodedEvent, strings.Repeat(floodedByte, floodBlockBytes)
		}
		if ending.framing == framingChunked {
			first, again = fmt.Sprintf("%x\r\n%s", len(first)+len(again), first+again+"\r\n"), fmt.Sprintf("%x\r\n%s\r\n", len(again), again)
		}
		e.flood(conn, life, first, again, readFloodPause)
	case endSilence:
		conn.SetReadDeadline(time.Now().Add(silenceLimit))
		conn.Read(make([]byte, 1))
	}
}

// flood writes a text, and another one again and again, until the proxy closes the connection or a life of the engine is over, which
// resets it.
func (e *engine) flood(conn net.Conn, life, first, again string, pause time.Duration) {
	_, err := io.WriteString(conn, first)
	for err == nil {
		if e.standStill() != life {
			reset(conn.(*net.TCPConn))
			return
		}
		_, err = io.WriteString(conn, again)
		time.Sleep(pause)
	}
}

// splitStream splits the events of an answer into what is written at once: blocks that end with a blank line, or pieces of any length.
func splitStream(text, id string, anywhere bool) (pieces []string) {
	if !anywhere {
		blankLine := "\n\n"
		if strings.Contains(text, "\r\n") {
			blankLine = "\r\n\r\n"
		}
		pieces = strings.SplitAfter(text, blankLine)
		return slices.DeleteFunc(pieces, func(piece string) bool { return piece == "" })
	}
	random := streamRandom(0, "pieces of "+id)
	for len(text) > 0 {
		size := pieceSize(random, len(text), maxPieces-len(pieces))
		pieces, text = append(pieces, text[:size]), text[size:]
	}
	return pieces
}

// pieceSize draws the size of the next of so many pieces of a text.
func pieceSize(random *rand.Rand, length, pieces int) int {
	if pieces <= 1 {
		return length
	}
	return min(length, 1+random.IntN(2*length/pieces+1))
}

// standStill waits while the engine is paused, and returns the engine's life.
func (e *engine) standStill() (life string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.resumed != nil {
		resumed := e.resumed
		e.mu.Unlock()
		<-resumed
		e.mu.Lock()
	}
	return e.id
}
