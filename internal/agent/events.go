package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"nettlefold/internal/config"
	"nettlefold/internal/feed"
	"nettlefold/internal/kvindex"
)

const (
	eventsEvery = 700 * time.Millisecond // between two pages of one backend
	eventsWait  = 400 * time.Millisecond // that a page without events is held
	eventsLimit = 1500 * time.Millisecond
	repairEvery = 6 * time.Second // between two lists of one backend: each holds its work up
	// sourcesEvery is how often the readers are held to the backends and members there are though neither seems to have changed.
	sourcesEvery = time.Second
)

// eventsPage is an answer of a backend's events.
type eventsPage struct {
	Epoch  int64   `json:"epoch"`
	Next   int64   `json:"next_page_token"`
	Lost   bool    `json:"lost"`
	Events []event `json:"events"`
}

// event is [number, + or -, salt, part, tokens kept now, model].
type event struct {
	Number int64
	Added  bool
	Salt   string
	Part   string
	Tokens int
	Model  string
}

// UnmarshalJSON reads an event from its array.
func (e *event) UnmarshalJSON(text []byte) error {
	var sign string
	return unmarshalTuple(text, &e.Number, &sign, &e.Salt, &e.Part, &e.Tokens, &e.Model)
}

// heldPart is [salt, part, tokens, model].
type heldPart struct {
	Salt   string
	Part   string
	Tokens int
	Model  string
}

// UnmarshalJSON reads an entry from its array.
func (h *heldPart) UnmarshalJSON(text []byte) error {
	return unmarshalTuple(text, &h.Salt, &h.Part, &h.Tokens, &h.Model)
}

func unmarshalTuple(text []byte, into ...any) error {
	var items []json.RawMessage
	if err := json.Unmarshal(text, &items); err != nil {
		return err
	}
	if len(items) < len(into) {
		return fmt.Errorf("an entry of %d items, want %d", len(items), len(into))
	}
	for i, target := range into {
		if string(items[i]) == "null" {
			continue
		}
		if err := json.Unmarshal(items[i], target); err != nil {
			return err
		}
	}
	return nil
}

// heldList is an answer of all that a backend keeps.
type heldList struct {
	Epoch int64      `json:"epoch"`
	Next  int64      `json:"next_page_token"`
	Held  []heldPart `json:"held"`
}

// source is a backend or store whose events are read.
type source struct{ id, addr string }

// sourcesOf is what the readers follow from: the list, the configuration with its stores, and the members that share the backends.
type sourcesOf struct {
	list    uint64
	config  uint64
	members uint64
}

// dutyEvents starts and stops the readers of the backends whose events fall to this agent, and forgets backends that are gone.
func (a *Agent) dutyEvents(ctx context.Context) {
	if a.snapshot == nil || a.list == nil {
		return
	}
	from := sourcesOf{a.lists.sum, a.snapshot.ConfigSeq, a.members.Digest}
	if from == a.readersOf && time.Since(a.readersAt) < sourcesEvery {
		return
	}
	a.readersOf, a.readersAt = from, time.Now()
	sources := a.sources()
	a.eventOwners.SetCandidates(a.memberIDs())
	a.eventOwners.Retain(func(duty string) bool {
		_, there := sources[strings.TrimPrefix(duty, eventsDutyPrefix)]
		return there
	})
	for id, stop := range a.readers {
		if _, there := sources[id]; !there || !a.readsEvents(id) {
			stop()
			delete(a.readers, id)
		}
	}
	for id, s := range sources {
		if a.readers[id] == nil && a.readsEvents(id) {
			reading, stop := context.WithCancel(ctx)
			a.readers[id] = stop
			go a.readEvents(reading, s)
		}
	}
	for _, id := range a.index.Backends() {
		if _, there := sources[id]; !there {
			a.index.Remove(id)
		}
	}
}

const eventsDutyPrefix = "events/"

// readsEvents tells whether the events of a backend fall to this agent.
func (a *Agent) readsEvents(id string) bool {
	return a.eventOwners.Owner(eventsDutyPrefix+id) == a.self.ID
}

// sources is every backend with kept prompts.
func (a *Agent) sources() map[string]source {
	sources := map[string]source{}
	for _, l := range a.list {
		if len(l.Versions) > 0 {
			sources[l.ID] = source{l.ID, l.Addr}
		}
	}
	for _, s := range a.stores() {
		sources[s] = source{s, s}
	}
	return sources
}

// stores gives the addresses of the stores in the configuration in force.
func (a *Agent) stores() []string {
	if a.storesOf != a.snapshot.ConfigSeq {
		a.storesOf, a.storeAddrs = a.snapshot.ConfigSeq, nil
		var doc struct {
			Services []config.Service `json:"services"`
		}
		if json.Unmarshal(a.snapshot.Config, &doc) == nil {
			for _, s := range doc.Services {
				if s.KVStoreAddress != "" {
					a.storeAddrs = append(a.storeAddrs, s.KVStoreAddress)
				}
			}
		}
	}
	return a.storeAddrs
}

// readEvents follows one backend until ctx ends. It goes on where this index stands, which its former owner may have told.
func (a *Agent) readEvents(ctx context.Context, s source) {
	listed := time.Time{}
	time.Sleep(time.Duration(rand.Int64N(int64(eventsEvery)))) // spread over the backends
	for ctx.Err() == nil {
		var at kvindex.Cursor
		if a.ask(ctx, func() { at, _ = a.index.Cursor(s.id) }) != nil {
			return
		}
		page, err := a.eventsPage(ctx, s, at)
		if err == nil {
			batch := batchOf(s.id, at, page)
			if batch.Snapshot && page.Lost && time.Since(listed) > repairEvery {
				listed = time.Now()
				if whole, err := a.heldList(ctx, s); err == nil {
					batch = whole
				}
			}
			a.ask(ctx, func() { a.ownBatch(batch) })
		}
		select {
		case <-time.After(eventsEvery):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) eventsPage(ctx context.Context, s source, at kvindex.Cursor) (*eventsPage, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsLimit)
	defer cancel()
	target := "http://" + s.addr + "/v1/kv-events?since=" + strconv.FormatInt(at.Next, 10)
	header := http.Header{"Wait-Ms": {strconv.FormatInt(eventsWait.Milliseconds(), 10)}}
	page := new(eventsPage)
	return page, a.getJSON(ctx, target, header, page)
}

func (a *Agent) heldList(ctx context.Context, s source) (*kvindex.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsLimit)
	defer cancel()
	list := new(heldList)
	if err := a.getJSON(ctx, "http://"+s.addr+"/v1/kv-list", nil, list); err != nil {
		return nil, err
	}
	to := kvindex.Cursor{Epoch: list.Epoch, Next: list.Next}
	batch := &kvindex.Batch{Backend: s.id, From: to, To: to, Snapshot: true}
	for _, h := range list.Held {
		batch.Changes = append(batch.Changes, kvindex.Change{Key: kvindex.KeyOf(h.Salt, h.Model, h.Part), Tokens: h.Tokens})
	}
	return batch, nil
}

// batchOf makes a batch of a page. One of another memory, or behind a gap, begins anew.
func batchOf(id string, at kvindex.Cursor, page *eventsPage) *kvindex.Batch {
	b := &kvindex.Batch{Backend: id, From: at, To: kvindex.Cursor{Epoch: page.Epoch, Next: page.Next}}
	b.Snapshot = page.Epoch != at.Epoch || page.Lost
	for _, e := range page.Events {
		b.Changes = append(b.Changes, kvindex.Change{Key: kvindex.KeyOf(e.Salt, e.Model, e.Part), Tokens: e.Tokens})
	}
	return b
}

// ownBatch takes a batch that was read here, and has it spread.
func (a *Agent) ownBatch(b *kvindex.Batch) {
	if len(b.Changes) == 0 && !b.Snapshot && b.From == b.To {
		return
	}
	if !a.index.Apply(b) {
		return
	}
	b.Digest = a.index.Digest(b.Backend)
	a.keepBatch(b)
	a.news.tell(&feed.GossipMessage{Batches: []*kvindex.Batch{b}})
}

// takeBatch takes one that was read elsewhere; after a gap the whole is fetched.
func (a *Agent) takeBatch(b *kvindex.Batch, from string) {
	if a.index.Apply(b) {
		a.keepBatch(b)
		return
	}
	a.fetchWhole(b.Backend, from)
}

// keepBatch holds a batch ready for the proxy.
func (a *Agent) keepBatch(b *kvindex.Batch) {
	a.batches = append(a.batches, b)
	if len(a.batches) >= keptBatches+droppedAtOnce {
		a.batches = slices.Delete(a.batches, 0, droppedAtOnce)
	}
	a.batchCount++
	a.notify()
}
