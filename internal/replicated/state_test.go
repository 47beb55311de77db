package replicated

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func put(version, base int64) *Operation {
	body := fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s"}]}`, version)
	return &Operation{Kind: KindConfig, Body: []byte(body), BaseVersion: base}
}

func TestAnOrderThatWasTakenIsNeverRefused(t *testing.T) {
	s := New()
	first, second := put(3, 0), put(9, 3)
	s.Apply(1, first)
	s.Apply(2, second)
	for _, o := range []*Operation{first, second} {
		verdict, err := s.Check(o)
		require.NoError(t, err)
		require.Equal(t, AlreadyApplied, verdict)
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
		return &Operation{Kind: KindLease, LeaseName: "d", Holder: holder, FencingToken: fence}
	}
	s.Apply(4, take("a", 0))
	require.Equal(t, LeaseRecord{"a", 4}, s.Leases["d"])
	require.Equal(t, uint64(4), New().FencingTokenAfter(take("a", 0), 4), "taken as number 4")
	require.Equal(t, uint64(4), s.FencingTokenAfter(take("a", 0), 5), "held already")
	require.Equal(t, uint64(6), s.FencingTokenAfter(take("b", 4), 6))
	verdict, _ := s.Check(take("a", 0))
	require.Equal(t, AlreadyApplied, verdict)
	verdict, _ = s.Check(take("b", 0))
	require.Equal(t, Conflict, verdict, "who saw an older fence takes nothing")
	verdict, _ = s.Check(take("b", 4))
	require.Equal(t, Accept, verdict)
	s.Apply(6, take("b", 4))
	require.Equal(t, LeaseRecord{"b", 6}, s.Leases["d"])
	verdict, _ = s.Check(take("a", 4))
	require.Equal(t, Conflict, verdict)
}

func TestVersionsOfWeightsOnlyRise(t *testing.T) {
	s := New()
	s.Apply(1, &Operation{Kind: KindVersion, Model: "m", Version: 3})
	verdict, _ := s.Check(&Operation{Kind: KindVersion, Model: "m", Version: 2})
	require.Equal(t, AlreadyApplied, verdict)
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
	for i := int64(1); i <= maxAcceptedConfigs+10; i++ {
		s.Apply(uint64(i), put(i, i-1))
	}
	require.Len(t, s.AcceptedConfigs, maxAcceptedConfigs)
	verdict, _ := s.Check(put(maxAcceptedConfigs+10, maxAcceptedConfigs+9))
	require.Equal(t, AlreadyApplied, verdict)
}

// TestOrdersForAZone: an order is taken on top of the newest one only. One that changes nothing is taken all the same, so that no older
// opposite order can follow its acknowledgement; one that was overtaken and holds is acknowledged.
func TestOrdersForAZone(t *testing.T) {
	order := func(kind string, based uint64) *Operation {
		return &Operation{Kind: kind, Zone: "z", BaseZoneSeq: based}
	}
	s := New()
	for i, step := range []struct {
		kind    string
		based   uint64
		verdict Verdict
	}{
		{KindRestore, 0, Accept}, // 1: nothing was evacuated
		{KindEvacuate, 0, Outdated},
		{KindRestore, 0, AlreadyApplied},
		{KindEvacuate, 1, Accept}, // 4
		{KindRestore, 1, Outdated},
		{KindEvacuate, 1, AlreadyApplied},
		{KindEvacuate, 4, Accept}, // 7: it was evacuated, and is ordered once more
		{KindRestore, 4, Outdated},
		{KindRestore, 7, Accept}, // 9
	} {
		o := order(step.kind, step.based)
		verdict, err := s.Check(o)
		require.Equal(t, step.verdict, verdict, "step %d", i+1)
		require.Equal(t, verdict == Outdated, err != nil)
		if verdict == Accept {
			s.Apply(uint64(i+1), o)
		}
	}
	require.Empty(t, s.Evacuated)
	require.Equal(t, uint64(9), s.Restored["z"])
	s.Apply(10, order(KindEvacuate, 9))
	s.Apply(11, order(KindEvacuate, 10))
	require.Equal(t, uint64(10), s.Evacuated["z"], "since when it is evacuated does not change")
}
