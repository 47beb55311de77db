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
	eventsPollInterval   = 700 * time.Millisecond // between two pages of one backend
	eventsLongPollTime   = 400 * time.Millisecond // that a page without events is held
	eventsRequestTimeout = 1500 * time.Millisecond
	kvListInterval       = 6 * time.Second // between two lists of one backend: each holds its work up
	// sourcesEvery is how often the readers are held to the backends and members there are though neither seems to have changed.
	readerCheckInterval = time.Second
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
	Seq    int64
	Added  bool
	Salt   string
	Part   string
	Tokens int
	Model  string
}

// UnmarshalJSON reads an event from its array.
func (e *event) UnmarshalJSON(text []byte) error {
	var sign string
	return unmarshalTuple(text, &e.Seq, &sign, &e.Salt, &e.Part, &e.Tokens, &e.Model)
}

// heldPart is [salt, part, tokens, model].
type kvListEntry struct {
	Salt   string
	Part   string
	Tokens int
	Model  string
}

// UnmarshalJSON reads an entry from its array.
func (h *kvListEntry) UnmarshalJSON(text []byte) error {
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
type kvList struct {
	Epoch   int64         `json:"epoch"`
	Next    int64         `json:"next_page_token"`
	Entries []kvListEntry `json:"held"`
}

// source is a backend or store whose events are read.
type eventSource struct{ id, addr string }

// sourcesOf is what the readers follow from: the list, the configuration with its stores, and the members that share the backends.
type eventReaderInputs struct {
	listDigest    uint64
	configSeq     uint64
	membersDigest uint64
}

// dutyEvents starts and stops the readers of the backends whose events fall to this agent, and forgets backends that are gone.
func (a *Agent) updateEventReaders(ctx context.Context) {
	if a.snapshot == nil || a.backends == nil {
		return
	}
	from := eventReaderInputs{a.listSync.digest, a.snapshot.ConfigSeq, a.members.Digest}
	if from == a.readerInputs && time.Since(a.readersCheckedAt) < readerCheckInterval {
		return
	}
	a.readerInputs, a.readersCheckedAt = from, time.Now()
	sources := a.eventSources()
	a.eventOwners.SetCandidates(a.memberIDs())
	a.eventOwners.Retain(func(duty string) bool {
		_, there := sources[strings.TrimPrefix(duty, eventsKeyPrefix)]
		return there
	})
	for id, stop := range a.eventReaders {
		if _, there := sources[id]; !there || !a.ownsEvents(id) {
			stop()
			delete(a.eventReaders, id)
		}
	}
	for id, s := range sources {
		if a.eventReaders[id] == nil && a.ownsEvents(id) {
			reading, stop := context.WithCancel(ctx)
			a.eventReaders[id] = stop
			go a.readEvents(reading, s)
		}
	}
	for _, id := range a.index.Backends() {
		if _, there := sources[id]; !there {
			a.index.Remove(id)
		}
	}
}

const eventsKeyPrefix = "events/"

// readsEvents tells whether the events of a backend fall to this agent.
func (a *Agent) ownsEvents(id string) bool {
	return a.eventOwners.Owner(eventsKeyPrefix+id) == a.self.ID
}

// sources is every backend with kept prompts.
func (a *Agent) eventSources() map[string]eventSource {
	sources := map[string]eventSource{}
	for _, l := range a.backends {
		if len(l.Versions) > 0 {
			sources[l.ID] = eventSource{l.ID, l.Addr}
		}
	}
	for _, s := range a.kvStores() {
		sources[s] = eventSource{s, s}
	}
	return sources
}

// stores gives the addresses of the stores in the configuration in force.
func (a *Agent) kvStores() []string {
	if a.kvStoresConfigSeq != a.snapshot.ConfigSeq {
		a.kvStoresConfigSeq, a.kvStoreAddrs = a.snapshot.ConfigSeq, nil
		var doc struct {
			Services []config.Service `json:"services"`
		}
		if json.Unmarshal(a.snapshot.Config, &doc) == nil {
			for _, s := range doc.Services {
				if s.KVStoreAddress != "" {
					a.kvStoreAddrs = append(a.kvStoreAddrs, s.KVStoreAddress)
				}
			}
		}
	}
	return a.kvStoreAddrs
}

// readEvents follows one backend until ctx ends. It goes on where this index stands, which its former owner may have told.
func (a *Agent) readEvents(ctx context.Context, s eventSource) {
	listed := time.Time{}
	time.Sleep(time.Duration(rand.Int64N(int64(eventsPollInterval)))) // spread over the backends
	for ctx.Err() == nil {
		var at kvindex.Cursor
		if a.runInLoop(ctx, func() { at, _ = a.index.Cursor(s.id) }) != nil {
			return
		}
		page, err := a.fetchEventsPage(ctx, s, at)
		if err == nil {
			batch := batchFromPage(s.id, at, page)
			if batch.Snapshot && page.Lost && time.Since(listed) > kvListInterval {
				listed = time.Now()
				if whole, err := a.fetchKVList(ctx, s); err == nil {
					batch = whole
				}
			}
			a.runInLoop(ctx, func() { a.publishBatch(batch) })
		}
		select {
		case <-time.After(eventsPollInterval):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) fetchEventsPage(ctx context.Context, s eventSource, at kvindex.Cursor) (*eventsPage, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsRequestTimeout)
	defer cancel()
	target := "http://" + s.addr + "/v1/kv-events?since=" + strconv.FormatInt(at.Next, 10)
	header := http.Header{"Wait-Ms": {strconv.FormatInt(eventsLongPollTime.Milliseconds(), 10)}}
	page := new(eventsPage)
	return page, a.getJSON(ctx, target, header, page)
}

func (a *Agent) fetchKVList(ctx context.Context, s eventSource) (*kvindex.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsRequestTimeout)
	defer cancel()
	list := new(kvList)
	if err := a.getJSON(ctx, "http://"+s.addr+"/v1/kv-list", nil, list); err != nil {
		return nil, err
	}
	to := kvindex.Cursor{Epoch: list.Epoch, Next: list.Next}
	batch := &kvindex.Batch{Backend: s.id, From: to, To: to, Snapshot: true}
	for _, h := range list.Entries {
		batch.Changes = append(batch.Changes, kvindex.Change{Key: kvindex.KeyOf(h.Salt, h.Model, h.Part), Tokens: h.Tokens})
	}
	return batch, nil
}

// batchOf makes a batch of a page. One of another memory, or behind a gap, begins anew.
func batchFromPage(id string, at kvindex.Cursor, page *eventsPage) *kvindex.Batch {
	b := &kvindex.Batch{Backend: id, From: at, To: kvindex.Cursor{Epoch: page.Epoch, Next: page.Next}}
	b.Snapshot = page.Epoch != at.Epoch || page.Lost
	for _, e := range page.Events {
		b.Changes = append(b.Changes, kvindex.Change{Key: kvindex.KeyOf(e.Salt, e.Model, e.Part), Tokens: e.Tokens})
	}
	return b
}

// ownBatch takes a batch that was read here, and has it spread.
func (a *Agent) publishBatch(b *kvindex.Batch) {
	if len(b.Changes) == 0 && !b.Snapshot && b.From == b.To {
		return
	}
	if !a.index.Apply(b) {
		return
	}
	b.Digest = a.index.Digest(b.Backend)
	a.recordBatch(b)
	a.gossip.publish(&feed.GossipMessage{Batches: []*kvindex.Batch{b}})
}

// takeBatch takes one that was read elsewhere; after a gap the whole is fetched.
func (a *Agent) applyBatch(b *kvindex.Batch, from string) {
	if a.index.Apply(b) {
		a.recordBatch(b)
		return
	}
	a.requestResync(b.Backend, from)
}

// keepBatch holds a batch ready for the proxy.
func (a *Agent) recordBatch(b *kvindex.Batch) {
	a.recentBatches = append(a.recentBatches, b)
	if len(a.recentBatches) >= minRecentBatches+batchTrimLength {
		a.recentBatches = slices.Delete(a.recentBatches, 0, batchTrimLength)
	}
	a.batchCount++
	a.notifyProxy()
}
