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
	// maxConcurrentResyncs is the number of backends that are fetched at a time.
	maxConcurrentResyncs = 4
)

// indexResync fetches the whole index of backends of which this agent missed a batch. It is owned
// by the command loop.
type indexResync struct {
	pending map[string]bool // backends until they are fetched or the fetch has failed
	queue   []resyncRequest
	running int
	served  uint64 // backend indexes sent to other agents
}

// resyncRequest is a backend to fetch, and the address of the agent that sent the batch.
type resyncRequest struct{ backend, from string }

// requestResync queues a fetch of a backend's whole index from the agent that reads the backend's
// events. Each agent reads those of few backends, so that the requests of a whole zone don't all go
// to its hub. The sender of the batch is asked only if the reader doesn't answer.
func (a *Agent) requestResync(backend, from string) {
	if a.resync.pending[backend] {
		return
	}
	a.resync.pending[backend] = true
	a.resync.queue = append(a.resync.queue, resyncRequest{backend, from})
	a.startResyncs()
}

// startResyncs starts queued fetches up to the limit.
func (a *Agent) startResyncs() {
	if len(a.members.Agents) == 0 {
		return // the events' reader isn't known either: the next membership update calls this again
	}
	for a.resync.running < maxConcurrentResyncs && len(a.resync.queue) > 0 {
		next := a.resync.queue[0]
		a.resync.queue = a.resync.queue[1:]
		a.resync.running++
		peers := []string{next.from}
		if readerAddr := a.eventsReaderAddr(next.backend); readerAddr != "" && readerAddr != next.from {
			peers = []string{readerAddr, next.from}
		}
		go func() {
			snapshot := a.fetchBackendIndex(next.backend, peers)
			a.enqueue(func() {
				a.resync.running--
				delete(a.resync.pending, next.backend)
				if snapshot != nil && a.index.Apply(snapshot) {
					a.recordBatch(snapshot)
				}
				a.startResyncs()
			})
		}()
	}
}

// fetchBackendIndex requests a backend's index from peers in turn. It returns nil if none has it.
func (a *Agent) fetchBackendIndex(backend string, peers []string) *kvindex.Batch {
	for _, peer := range peers {
		snapshot := new(kvindex.Batch)
		err := a.pool.Call(context.Background(), resyncTimeout, peer, feed.KindBackendIndex, &feed.BackendIndexRequest{Backend: backend}, snapshot)
		if err == nil {
			return snapshot
		}
		a.log.Debug().Err(err).Str("step", "whole").Str("peer", peer).Str("backend", backend).Msg("fetching the backend's index failed")
	}
	return nil
}

// eventsReaderAddr returns the address of the agent that reads a backend's events, "" if it is
// unknown or this agent.
func (a *Agent) eventsReaderAddr(backend string) string {
	id := rendezvous.Owner(eventsKeyPrefix+backend, a.memberIDs())
	for _, m := range a.members.Agents {
		if m.ID == id && id != a.self.ID {
			return m.Addr
		}
	}
	return ""
}
