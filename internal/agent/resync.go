package agent

import (
	"context"
	"time"

	"nettlefold/internal/feed"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/rendezvous"
)

const (
	resyncTimeout = 800 * time.Millisecond
	// wholeMost is how many backends are fetched at a time.
	maxConcurrentResyncs = 4
)

// wholes fetches all that is known of backends of which this agent missed a change. It belongs to the agent's owner goroutine.
type indexResync struct {
	pending map[string]bool // backends, until they are fetched or given up
	queue   []resyncRequest
	running int
	served  uint64 // to other agents
}

// wholeFetch is a backend to be fetched, and the address of who told of the change.
type resyncRequest struct{ backend, from string }

// fetchWhole has all that is known of a backend fetched, from whoever reads its events: each agent reads those of few, so that what a zone
// misses together is not asked of its hub alone. Who told of the change is asked if the reader has no answer.
func (a *Agent) requestResync(backend, from string) {
	if a.resync.pending[backend] {
		return
	}
	a.resync.pending[backend] = true
	a.resync.queue = append(a.resync.queue, resyncRequest{backend, from})
	a.startResyncs()
}

func (a *Agent) startResyncs() {
	if len(a.members.Agents) == 0 {
		return // nobody but a hub is known yet: the next change brings it back
	}
	for a.resync.running < maxConcurrentResyncs && len(a.resync.queue) > 0 {
		next := a.resync.queue[0]
		a.resync.queue = a.resync.queue[1:]
		a.resync.running++
		peers := []string{next.from}
		if reader := a.eventsReaderAddr(next.backend); reader != "" && reader != next.from {
			peers = []string{reader, next.from}
		}
		go func() {
			whole := a.fetchBackendIndex(next.backend, peers)
			a.enqueue(func() {
				a.resync.running--
				delete(a.resync.pending, next.backend)
				if whole != nil && a.index.Apply(whole) {
					a.recordBatch(whole)
				}
				a.startResyncs()
			})
		}()
	}
}

// callForWhole asks peers one after the other, nil if none has an answer.
func (a *Agent) fetchBackendIndex(backend string, peers []string) *kvindex.Batch {
	for _, peer := range peers {
		whole := new(kvindex.Batch)
		err := a.pool.Call(context.Background(), resyncTimeout, peer, feed.KindBackendIndex, &feed.BackendIndexRequest{Backend: backend}, whole)
		if err == nil {
			return whole
		}
		a.log.Debug().Err(err).Str("step", "whole").Str("peer", peer).Str("backend", backend).Msg("the backend was not fetched")
	}
	return nil
}

// eventsReader is the address of the agent that reads a backend's events, "" if it is not known or this one.
func (a *Agent) eventsReaderAddr(backend string) string {
	id := rendezvous.Owner(eventsKeyPrefix+backend, a.memberIDs())
	for _, m := range a.members.Agents {
		if m.ID == id && id != a.self.ID {
			return m.Addr
		}
	}
	return ""
}
