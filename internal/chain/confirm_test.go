package chain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/replicated"
)

// lateAnswer plays a tail whose disk fails while an acceptor's confirmation is held up on its way: the others go over to a view without the
// tail and take a write; then the disk works again, a read comes, and the old answer arrives before any news. It tells whether the read was
// answered, and from a state that lacks the write.
func playLateConfirmation(t *testing.T, planted fault) (answered, old bool) {
	s := threeNodes(1)
	s.injected = planted
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
	s.perform(tail, tail.replica.step(s.now, tail.replica.saveMeta)) // whatever it writes
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

// TestConfirmationsOfAnEarlierReplica: an answer to what a replica asked before its disk failed confirms nothing that is asked after it.
func TestConfirmationOfEarlierReplicaIgnored(t *testing.T) {
	answered, _ := playLateConfirmation(t, noFault)
	require.False(t, answered)
	answered, old := playLateConfirmation(t, faultReusedNonces)
	require.True(t, answered && old, "the planted fault shows an old state as the newest")
}
