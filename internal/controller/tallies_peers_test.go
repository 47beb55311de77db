package controller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/distribute"
	"nettlefold/internal/rpc"
	"nettlefold/internal/tally"
)

// TestAttemptResult checks that only an answer, or the lack of one, says anything about the other machine.
func TestAttemptResult(t *testing.T) {
	dialError := func(errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
	}
	for _, test := range []struct {
		err  error
		want tally.AttemptResult
	}{
		{nil, tally.Connected},
		{dialError(syscall.ECONNREFUSED), tally.RefusedConnection},
		{dialError(syscall.ECONNRESET), tally.RefusedConnection},
		{dialError(syscall.EHOSTUNREACH), tally.Unanswered},
		{dialError(syscall.ENETUNREACH), tally.Unanswered},
		{dialError(syscall.ETIMEDOUT), tally.Unanswered},
		{context.DeadlineExceeded, tally.Unanswered},
		{&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, tally.Unanswered},
		{dialError(syscall.EMFILE), tally.Inconclusive},
		{dialError(syscall.EADDRNOTAVAIL), tally.Inconclusive},
		{errors.New("other"), tally.Inconclusive},
	} {
		require.Equal(t, test.want, attemptResult(test.err), "result of %v", test.err)
	}
}

// TestAttemptResultOverSockets checks the result for a port that accepts connections and for one that
// refuses them.
func TestAttemptResultOverSockets(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	conn, err := rpc.TCP{}.Dial(t.Context(), addr)
	require.Equal(t, tally.Connected, attemptResult(err))
	conn.Close()
	require.NoError(t, listener.Close())
	_, err = rpc.TCP{}.Dial(t.Context(), addr)
	require.Equal(t, tally.RefusedConnection, attemptResult(err))
}

// TestAgentsByZone checks that the witnesses of a zone are its own agents, and at most maxWitnesses.
func TestAgentsByZone(t *testing.T) {
	var agents []distribute.Agent
	for i := range maxWitnesses + 1 {
		agents = append(agents, distribute.Agent{Addr: fmt.Sprint("a", i), Zone: "a"})
	}
	agents = append(agents, distribute.Agent{Addr: "b0", Zone: "b"})
	byZone := agentsByZone(agents)
	require.Len(t, byZone["a"], maxWitnesses)
	require.Equal(t, []string{"b0"}, byZone["b"])
	require.Empty(t, byZone["c"])
}
