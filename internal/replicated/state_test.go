package replicated

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func put(version, base int64) *Operation {
	body := fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s"}]}`, version)
	return &Operation{Kind: KindConfig, Body: []byte(body), Base: base}
}

func TestAnOrderThatWasTakenIsNeverRefused(t *testing.T) {
	s := New()
	first, second := put(3, 0), put(9, 3)
	s.Apply(1, first)
	s.Apply(2, second)
	for _, o := range []*Operation{first, second} {
		verdict, err := s.Check(o)
		require.NoError(t, err)
		require.Equal(t, Already, verdict)
	}
}

func TestRivalsOfOneVersion(t *testing.T) {
	s := New()
	s.Apply(1, put(3, 0))
	winner, rival := put(7, 3), put(8, 3)
	verdict, _ := s.Check(winner)
	require.Equal(t, Accept, verdict)
	s.Apply(2, winner)
	verdict, err := s.Check(rival)
	require.Equal(t, Conflict, verdict)
	require.Error(t, err)
	verdict, _ = s.Check(put(7, 7))
	require.Equal(t, Invalid, verdict, "a version that is not above the current one")
}

func TestDutyPassesOnUnderANewFence(t *testing.T) {
	s := New()
	take := func(holder string, fence uint64) *Operation {
		return &Operation{Kind: KindDuty, Duty: "d", Holder: holder, Fence: fence}
	}
	s.Apply(4, take("a", 0))
	require.Equal(t, Duty{"a", 4}, s.Duties["d"])
	verdict, _ := s.Check(take("a", 0))
	require.Equal(t, Already, verdict)
	verdict, _ = s.Check(take("b", 0))
	require.Equal(t, Conflict, verdict, "who saw an older fence takes nothing")
	verdict, _ = s.Check(take("b", 4))
	require.Equal(t, Accept, verdict)
	s.Apply(6, take("b", 4))
	require.Equal(t, Duty{"b", 6}, s.Duties["d"])
	verdict, _ = s.Check(take("a", 4))
	require.Equal(t, Conflict, verdict)
}

func TestVersionsOfWeightsOnlyRise(t *testing.T) {
	s := New()
	s.Apply(1, &Operation{Kind: KindVersion, Model: "m", Version: 3})
	verdict, _ := s.Check(&Operation{Kind: KindVersion, Model: "m", Version: 2})
	require.Equal(t, Already, verdict)
}

func TestStateIsReadAsItWasWritten(t *testing.T) {
	s := New()
	s.Apply(1, put(3, 0))
	s.Apply(2, &Operation{Kind: KindEvacuate, Zone: "z"})
	s.Apply(3, &Operation{Kind: KindVersion, Model: "m", Version: 2})
	again, err := Decode(s.Encode())
	require.NoError(t, err)
	require.Equal(t, s, again)
	o, err := DecodeOperation(put(3, 0).Encode())
	require.NoError(t, err)
	require.Equal(t, put(3, 0), o)
}

func TestRememberedOrdersAreBounded(t *testing.T) {
	s := New()
	for i := int64(1); i <= rememberedOrders+10; i++ {
		s.Apply(uint64(i), put(i, i-1))
	}
	require.Len(t, s.Taken, rememberedOrders)
	verdict, _ := s.Check(put(rememberedOrders+10, rememberedOrders+9))
	require.Equal(t, Already, verdict)
}
