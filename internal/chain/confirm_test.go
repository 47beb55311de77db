package chain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/replicated"
)

// playLateConfirmation simulates a tail whose disk fails while an acceptor's confirmation is
// delayed: the others change to a view without the tail and commit a write; then the disk recovers,
// a read arrives at the old tail, and the delayed confirmation is delivered before any newer view.
// It returns whether the read was answered, and whether that was from a state without the write.
func playLateConfirmation(t *testing.T, injected fault) (answered, stale bool) {
	s := threeNodes(1)
	s.injected = injected
	s.load(s.nodes["c"])
	s.run(3 * time.Second)
	head, tail := s.nodes["a"], s.nodes["c"]
	view := tail.replica.View()
	require.Equal(t, NodeID("c"), view.Tail())
	nonce, out := tail.replica.ConfirmEpoch(s.now)
	var late *Message
	for _, e := range out.Messages {
		if e.To.ID == "b" {
			m := e.Message
			reply := s.nodes["b"].replica.Receive(s.now, &m)
			late = &reply.Messages[0].Message
		}
	}
	require.NotNil(t, late.Confirmed)
	require.Equal(t, nonce, late.Confirmed.Nonce)

	s.partition([]string{"c"}, []string{"a", "b"}, false)
	s.run(3 * time.Second)
	order := s.submit("a", &replicated.Operation{Kind: replicated.KindVersion, Model: "m", Version: 7})
	s.run(time.Second)
	require.Equal(t, outcomeCommitted, order.outcome)
	require.Greater(t, head.replica.View().Epoch, tail.replica.View().Epoch)

	tail.diskFailing = true
	s.perform(tail, tail.replica.step(s.now, tail.replica.saveMeta)) // any write fails
	require.True(t, tail.halted)
	tail.diskFailing = false
	s.run(2 * reopenInterval)
	require.False(t, tail.halted)
	read := s.read("c")
	s.run(20 * time.Millisecond)
	s.perform(tail, tail.replica.Receive(s.now, late))
	answered = read.outcome == outcomeCommitted
	return answered, answered && read.state.Models["m"].Version < 7
}

// TestConfirmationOfEarlierReplicaIgnored checks that a reply to a request from before a disk
// failure confirms no read that starts after it.
func TestConfirmationOfEarlierReplicaIgnored(t *testing.T) {
	answered, _ := playLateConfirmation(t, noFault)
	require.False(t, answered, "read answered by a confirmation for an earlier replica")
	answered, stale := playLateConfirmation(t, faultReusedNonces)
	require.True(t, answered && stale, "reused nonces: read answered = %v, from a stale state = %v, want both true", answered, stale)
}
