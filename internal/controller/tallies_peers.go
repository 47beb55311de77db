package controller

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"nettlefold/internal/tally"
)

// attemptConnection connects to another machine and reports to the replica how the machine answered.
// startedAt is the time since the start of the service.
func (t *tallyService) attemptConnection(addr string, startedAt time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), t.replicaOptions.Timing.AttemptTimeout)
	defer cancel()
	conn, err := t.network.Dial(ctx, addr)
	if err == nil {
		conn.Close()
	}
	result := attemptResult(err)
	t.enqueue(func() {
		t.applyOutput(t.replica.AttemptFinished(t.sinceStart(), addr, startedAt, result))
	})
}

// unreachableErrors are the errors that the kernel returns if a machine or the way to it doesn't answer.
var unreachableErrors = []error{syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH, syscall.ETIMEDOUT}

// attemptResult classifies the error of an attempt to connect.
func attemptResult(err error) tally.AttemptResult {
	var timeout net.Error
	switch {
	case err == nil:
		return tally.Connected
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return tally.RefusedConnection
	case slices.ContainsFunc(unreachableErrors, func(target error) bool { return errors.Is(err, target) }),
		errors.As(err, &timeout) && timeout.Timeout():
		return tally.Unanswered
	}
	return tally.Inconclusive
}

// logHandOff logs how many adds this machine takes along that too few others have.
func (t *tallyService) logHandOff() {
	if adds := t.unreplicated.Load(); adds > 0 {
		t.log.Warn().Str("step", "leave").Uint64("adds", adds).Msg("too few other machines have these adds: keep this machine's disk")
	}
}

// logPresence logs each peer whose presence has changed: it decides which adds are acknowledged.
func (t *tallyService) logPresence(now time.Duration) {
	for _, peer := range t.replica.Presences(now) {
		previous, known := t.peerPresence[peer.Addr]
		if known && previous == peer.Presence {
			continue
		}
		t.peerPresence[peer.Addr] = peer.Presence
		level := zerolog.InfoLevel
		if !known {
			level = zerolog.DebugLevel
		}
		t.log.WithLevel(level).Str("step", "tally peers").Str("peer", peer.Addr).
			Stringer("presence", peer.Presence).Stringer("previous", previous).
			Int("witnesses", peer.Witnesses).Int("answering_witnesses", peer.AnsweringWitnesses).
			Bool("local_side_alive", peer.LocalSideAlive).Msg("presence of a peer changed")
	}
}
