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
	eventsPollInterval   = 700 * time.Millisecond // between two event pages of one backend
	eventsLongPollTime   = 400 * time.Millisecond // how long a backend holds a request while it has no events
	eventsRequestTimeout = 1500 * time.Millisecond
	// maxEventsBackoffDoublings bounds how often eventsPollInterval doubles while a backend sends what is no page.
	maxEventsBackoffDoublings = 3
	kvListInterval            = 6 * time.Second // between two listings of a backend, which block its work
	// readerCheckInterval is how often the event readers are checked even if neither the backends
	// nor the members seem to have changed.
	readerCheckInterval = time.Second
)

// eventsPage is one page of a backend's cache events.
type eventsPage struct {
	Epoch  int64   `json:"epoch"`
	Next   int64   `json:"next_page_token"`
	Lost   bool    `json:"lost"` // the backend doesn't have all events since the cursor
	Events []event `json:"events"`
}

// event is a cache event of one part of a prompt, encoded as the array [number, "+" or "-", salt,
// part, tokens of the part that are now cached, model].
type event struct {
	Seq    int64
	Added  bool
	Salt   string
	Part   string
	Tokens int
	Model  string
}

// UnmarshalJSON decodes an event from its array.
func (e *event) UnmarshalJSON(text []byte) error {
	var sign string
	return unmarshalTuple(text, &e.Seq, &sign, &e.Salt, &e.Part, &e.Tokens, &e.Model)
}

// kvListEntry is an entry of a backend's cache listing, encoded as the array [salt, part, tokens,
// model].
type kvListEntry struct {
	Salt   string
	Part   string
	Tokens int
	Model  string
}

// UnmarshalJSON decodes an entry from its array.
func (e *kvListEntry) UnmarshalJSON(text []byte) error {
	return unmarshalTuple(text, &e.Salt, &e.Part, &e.Tokens, &e.Model)
}

// unmarshalTuple decodes the leading items of a JSON array. Items that are null leave their target
// unchanged.
func unmarshalTuple(text []byte, into ...any) error {
	var items []json.RawMessage
	if err := json.Unmarshal(text, &items); err != nil {
		return err
	}
	if len(items) < len(into) {
		return fmt.Errorf("agent: decode cache entry: got %d items, want at least %d", len(items), len(into))
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

// kvList is the listing of everything in a backend's cache.
type kvList struct {
	Epoch   int64         `json:"epoch"`
	Next    int64         `json:"next_page_token"`
	Entries []kvListEntry `json:"held"`
}

// eventSource is a backend or KV store whose cache events are read.
type eventSource struct{ id, addr string }

// eventReaderInputs identifies the versions of what determines the event readers: the list, the
// configuration with its KV stores, and the members among which the backends are divided.
type eventReaderInputs struct {
	listDigest    uint64
	configSeq     uint64
	membersDigest uint64
}

// updateEventReaders starts and stops the readers of the backends whose events this agent owns, and
// removes backends that are gone from the index.
func (a *Agent) updateEventReaders(ctx context.Context) {
	if a.snapshot == nil || a.backends == nil {
		return
	}
	inputs := eventReaderInputs{a.listSync.digest, a.snapshot.ConfigSeq, a.members.Digest}
	if inputs == a.readerInputs && time.Since(a.readersCheckedAt) < readerCheckInterval {
		return
	}
	a.readerInputs, a.readersCheckedAt = inputs, time.Now()
	sources := a.eventSources()
	a.eventOwners.SetCandidates(a.memberIDs())
	a.eventOwners.Retain(func(key string) bool {
		_, ok := sources[strings.TrimPrefix(key, eventsKeyPrefix)]
		return ok
	})
	for id, stop := range a.eventReaders {
		if _, ok := sources[id]; !ok || !a.ownsEvents(id) {
			stop()
			delete(a.eventReaders, id)
		}
	}
	for id, s := range sources {
		if a.eventReaders[id] == nil && a.ownsEvents(id) {
			readerCtx, stop := context.WithCancel(ctx)
			a.eventReaders[id] = stop
			go a.readEvents(readerCtx, s)
		}
	}
	for _, id := range a.index.Backends() {
		if _, ok := sources[id]; !ok {
			a.index.Remove(id)
		}
	}
}

// eventsKeyPrefix precedes the backend ID in the rendezvous key of its events.
const eventsKeyPrefix = "events/"

// ownsEvents reports whether this agent reads the events of a backend.
func (a *Agent) ownsEvents(id string) bool {
	return a.eventOwners.Owner(eventsKeyPrefix+id) == a.self.ID
}

// eventSources returns every backend and KV store that caches prompts.
func (a *Agent) eventSources() map[string]eventSource {
	sources := map[string]eventSource{}
	for _, backend := range a.backends {
		if len(backend.Versions) > 0 {
			sources[backend.ID] = eventSource{backend.ID, backend.Addr}
		}
	}
	for _, store := range a.kvStores() {
		sources[store] = eventSource{store, store}
	}
	return sources
}

// kvStores returns the addresses of the KV stores in the current configuration.
func (a *Agent) kvStores() []string {
	if a.kvStoresConfigSeq != a.snapshot.ConfigSeq {
		a.kvStoresConfigSeq, a.kvStoreAddrs = a.snapshot.ConfigSeq, nil
		if doc, err := config.Decode(a.snapshot.Config); err == nil {
			for _, store := range doc.Services {
				if store.KVStoreAddress != "" {
					a.kvStoreAddrs = append(a.kvStoreAddrs, store.KVStoreAddress)
				}
			}
		}
	}
	return a.kvStoreAddrs
}

// readEvents reads the events of one backend until ctx is done. It continues at the index's cursor,
// which says how far the former reader's published events have been applied.
func (a *Agent) readEvents(ctx context.Context, s eventSource) {
	lastListed, faults := time.Time{}, 0
	time.Sleep(time.Duration(rand.Int64N(int64(eventsPollInterval)))) // spread the requests over the backends
	for ctx.Err() == nil {
		var cursor kvindex.Cursor
		if a.runInLoop(ctx, func() { cursor, _ = a.index.Cursor(s.id) }) != nil {
			return
		}
		page, err := a.fetchEventsPage(ctx, s, cursor)
		if err == nil {
			batch := batchFromPage(s.id, cursor, page)
			if batch.Snapshot && page.Lost && time.Since(lastListed) > kvListInterval {
				lastListed = time.Now()
				listing, listErr := a.fetchKVList(ctx, s)
				if listErr == nil {
					batch = listing
				}
				err = listErr
			}
			a.runInLoop(ctx, func() { a.publishBatch(batch) })
		}
		if isResponseFault(err) {
			faults++
			a.faults.record(s.addr, err)
		} else {
			faults = 0
		}
		select {
		case <-time.After(eventsPollInterval << min(faults, maxEventsBackoffDoublings)):
		case <-ctx.Done():
		}
	}
}

// fetchEventsPage fetches the events of a backend after a cursor.
func (a *Agent) fetchEventsPage(ctx context.Context, source eventSource, cursor kvindex.Cursor) (*eventsPage, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsRequestTimeout)
	defer cancel()
	target := "http://" + source.addr + "/v1/kv-events?since=" + strconv.FormatInt(cursor.Next, 10)
	header := http.Header{"Wait-Ms": {strconv.FormatInt(eventsLongPollTime.Milliseconds(), 10)}}
	page := new(eventsPage)
	_, err := a.getJSON(ctx, jsonRequest{target: target, header: header, maxBytes: maxEventsBytes, memory: a.memory}, page)
	return page, err
}

// fetchKVList fetches the listing of a backend's cache as a snapshot batch.
func (a *Agent) fetchKVList(ctx context.Context, source eventSource) (*kvindex.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsRequestTimeout)
	defer cancel()
	list := new(kvList)
	request := jsonRequest{target: "http://" + source.addr + "/v1/kv-list", maxBytes: maxEventsBytes, memory: a.memory}
	if _, err := a.getJSON(ctx, request, list); err != nil {
		return nil, err
	}
	cursor := kvindex.Cursor{Epoch: list.Epoch, Next: list.Next}
	batch := &kvindex.Batch{Backend: source.id, From: cursor, To: cursor, Snapshot: true}
	for _, entry := range list.Entries {
		batch.Changes = append(batch.Changes, kvindex.Change{Key: kvindex.KeyOf(entry.Salt, entry.Model, entry.Part), Tokens: entry.Tokens})
	}
	return batch, nil
}

// batchFromPage converts a page of events to a batch. It is a snapshot if the backend's epoch has
// changed or events were lost.
func batchFromPage(id string, cursor kvindex.Cursor, page *eventsPage) *kvindex.Batch {
	batch := &kvindex.Batch{Backend: id, From: cursor, To: kvindex.Cursor{Epoch: page.Epoch, Next: page.Next}}
	batch.Snapshot = page.Epoch != cursor.Epoch || page.Lost
	for _, event := range page.Events {
		batch.Changes = append(batch.Changes, kvindex.Change{Key: kvindex.KeyOf(event.Salt, event.Model, event.Part), Tokens: event.Tokens})
	}
	return batch
}

// publishBatch applies a batch that this agent read from a backend, and gossips it.
func (a *Agent) publishBatch(batch *kvindex.Batch) {
	if len(batch.Changes) == 0 && !batch.Snapshot && batch.From == batch.To {
		return
	}
	if !a.index.Apply(batch) {
		return
	}
	batch.Digest = a.index.Digest(batch.Backend)
	a.recordBatch(batch)
	a.gossip.publish(&feed.GossipMessage{Batches: []*kvindex.Batch{batch}})
}

// applyBatch applies a batch that another agent read. If it leaves a gap, the backend's whole index
// is requested.
func (a *Agent) applyBatch(batch *kvindex.Batch, from string) {
	if a.index.Apply(batch) {
		a.recordBatch(batch)
		return
	}
	a.requestResync(batch.Backend, from)
}

// recordBatch makes a batch available to the proxy.
func (a *Agent) recordBatch(batch *kvindex.Batch) {
	a.recentBatches = append(a.recentBatches, batch)
	if len(a.recentBatches) >= minRecentBatches+batchTrimLength {
		a.recentBatches = slices.Delete(a.recentBatches, 0, batchTrimLength)
	}
	a.batchCount++
	a.notifyProxy()
}
