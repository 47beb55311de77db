package capacity

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

func init() { sources = append(sources, wireCurves) }

// Bytes that the plan does not name: assumed.
const (
	textBytes  = 64 // of a query's text
	valueBytes = 64 // of a part's answer
)

func wireCurves() []Curve {
	return []Curve{{
		Role: "mixer", Of: "parts", Plan: Parts, Sizes: []int{5, 10, 20, 44, 88, 176, 400}, Quick: []int{4, 8, 16, 32, 64},
		Play: playWire,
		Quantities: []Quantity{
			{Name: "query: bytes of the client's request", Unit: "B", Form: Affine, Deterministic: true, Known: requestBytes},
			{Name: "query: bytes of all its frames out", Unit: "B", Form: Affine, Deterministic: true, Known: framesOut},
			{Name: "query: bytes of all frames in", Unit: "B", Form: Affine, Deterministic: true, Known: framesIn},
			{Name: "query: bytes of the client's answer", Unit: "B", Form: Affine, Deterministic: true, Known: answerBytes},
			{Name: "query: allocations of reading and writing all of it", Unit: "1", Form: Affine, Deterministic: true,
				Known: wireAllocations},
			{Name: "query: reading and writing all of it, no sockets", Unit: "s", Form: Quadratic, Known: wireTime},
		},
	}, {
		Role: "mixer", Of: "connections", Plan: Searchers, Sizes: []int{64, 128, 256, 512, 1024, 2048},
		Quick: []int{16, 32, 64, 128, 256}, Play: playConnections,
		Quantities: []Quantity{
			{Name: "connections: bytes on the heap", Unit: "B", Form: Affine, Deterministic: true, Known: connectionsHeld},
			{Name: "connections: bytes of stacks", Unit: "B", Form: Affine, Known: connectionsStacks},
		},
	}, {
		Role: "mixer", Of: "searchers", Plan: Searchers, Sizes: fleetSizes, Quick: quickSizes, Play: playSpare,
		Quantities: []Quantity{
			{Name: "connections: comparisons of one call where descriptors are short", Unit: "1", Form: Flat, Deterministic: true,
				Known: spareSteps},
			{Name: "connections: one call where descriptors are short", Unit: "s", Form: Flat, Known: spareTime},
		},
	}, {
		Role: "mixer", Of: "idle connections", Plan: Searchers, Sizes: []int{128, 512, 2048, 8192, 37000}, Quick: []int{64, 128, 256, 512, 1024},
		Play: playChoice, Quantities: []Quantity{
			{Name: "connections: comparisons to close one for another, within a budget", Unit: "1", Form: Power, Deterministic: true,
				Known: choiceSteps},
			{Name: "connections: closing one for another in the pool, within a budget", Unit: "s", Form: Power, Known: choiceTime},
		},
	}}
}

// playWire reads a client's request, writes the frames of its parts, reads their answers, and writes the client's.
func playWire(parts int) ([]float64, error) {
	var shards []string
	for i := range parts {
		shards = append(shards, fmt.Sprintf(`{"shard":%d,"weight":%.6f}`, 100+i, 1/float64(parts)))
	}
	body := []byte(`{"q":"` + strings.Repeat("q", textBytes) + `","shards":[` + strings.Join(shards, ",") + `]}`)
	head := http.Header{}
	for name, v := range map[string]string{"X-Txn": "query-0000000001", "X-Lane": "all", "X-Remaining-Ms": "57"} {
		head.Set(name, v)
	}
	lim := limits()
	lim.Shards = 1 << 20
	value := bytes.Repeat([]byte{'v'}, valueBytes)
	var out, in, answer float64
	var err error
	play := func() {
		var l protocol.Lookup
		if l, err = protocol.ReadLookup(head, body, time.Now(), map[string]int{"all": 0}, nil, lim); err != nil {
			return
		}
		out, in = 0, 0
		f := routing.Final{Verdict: routing.Answered, Whole: true}
		for i, p := range l.Parts {
			id := l.ID + "." + strconv.Itoa(p.Slice)
			frame := protocol.AppendQuery(nil, []protocol.Part{{ID: id, Shard: p.Slice, Timeout: 49 * time.Millisecond, Query: l.Query}})
			out += float64(len(frame))
			raw := protocol.AppendFrame(nil, protocol.AnswerFrame, append([]byte(id+" ok 1 -\n"), value...))
			in += float64(len(raw))
			var got protocol.Frame
			if got, err = protocol.ReadFrame(bytes.NewReader(raw), lim.MaxFrameBytes); err != nil {
				return
			}
			var r protocol.Reply
			if r, err = protocol.ReadReply(got.Payload); err != nil || r.Outcome != mixer.Succeeded {
				return
			}
			f.Hits = append(f.Hits, routing.Hit{Part: i, Value: r.Value})
		}
		var raw []byte
		raw, err = protocol.EncodeAnswer(l, f)
		answer = float64(len(raw))
	}
	const times = 20
	a, _, t := best(3, func() {
		for range times {
			play()
		}
	})
	return []float64{float64(len(body)), out, in, answer, a / times, t.Seconds() / times}, err
}
