package replicated

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// putConfig returns an operation that sets a configuration on top of a base version.
func putConfig(version, base int64) *Operation {
	body := fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s"}]}`, version)
	return &Operation{Kind: KindConfig, Body: []byte(body), BaseVersion: base}
}

func TestCheckRepeatedConfig(t *testing.T) {
	s := New()
	first, second := putConfig(3, 0), putConfig(9, 3)
	s.Apply(1, first)
	s.Apply(2, second)
	for _, o := range []*Operation{first, second} {
		verdict, err := s.Check(o)
		require.NoError(t, err)
		require.Equal(t, AlreadyApplied, verdict, "configuration based on version %d", o.BaseVersion)
	}
}

func TestCheckConcurrentConfigs(t *testing.T) {
	s := New()
	s.Apply(1, putConfig(3, 0))
	winner, rival := putConfig(7, 3), putConfig(8, 3)
	verdict, _ := s.Check(winner)
	require.Equal(t, Accept, verdict)
	s.Apply(2, winner)
	verdict, err := s.Check(rival)
	require.Equal(t, Conflict, verdict)
	require.Error(t, err)
	verdict, _ = s.Check(putConfig(7, 7))
	require.Equal(t, Invalid, verdict, "version not above the current one")
}

func TestLeaseTakeover(t *testing.T) {
	s := New()
	acquire := func(holder string, fencingToken uint64) *Operation {
		return &Operation{Kind: KindLease, LeaseName: "d", Holder: holder, FencingToken: fencingToken}
	}
	s.Apply(4, acquire("a", 0))
	require.Equal(t, LeaseRecord{"a", 4}, s.Leases["d"])
	require.Equal(t, uint64(4), New().FencingTokenAfter(acquire("a", 0), 4), "acquired by operation 4")
	require.Equal(t, uint64(4), s.FencingTokenAfter(acquire("a", 0), 5), "held before operation 5")
	require.Equal(t, uint64(6), s.FencingTokenAfter(acquire("b", 4), 6))
	verdict, _ := s.Check(acquire("a", 0))
	require.Equal(t, AlreadyApplied, verdict)
	verdict, _ = s.Check(acquire("b", 0))
	require.Equal(t, Conflict, verdict, "outdated fencing token")
	verdict, _ = s.Check(acquire("b", 4))
	require.Equal(t, Accept, verdict)
	s.Apply(6, acquire("b", 4))
	require.Equal(t, LeaseRecord{"b", 6}, s.Leases["d"])
	verdict, _ = s.Check(acquire("a", 4))
	require.Equal(t, Conflict, verdict)
}

func TestModelVersionsOnlyIncrease(t *testing.T) {
	s := New()
	s.Apply(1, &Operation{Kind: KindVersion, Model: "m", Version: 3})
	verdict, _ := s.Check(&Operation{Kind: KindVersion, Model: "m", Version: 2})
	require.Equal(t, AlreadyApplied, verdict)
}

func TestEncodeRoundTrip(t *testing.T) {
	s := New()
	s.Apply(1, putConfig(3, 0))
	s.Apply(2, &Operation{Kind: KindEvacuate, Zone: "z"})
	s.Apply(3, &Operation{Kind: KindVersion, Model: "m", Version: 2})
	decoded, err := Decode(s.Encode())
	require.NoError(t, err)
	require.Equal(t, s, decoded)
	o, err := DecodeOperation(putConfig(3, 0).Encode())
	require.NoError(t, err)
	require.Equal(t, putConfig(3, 0), o)
}

func TestAcceptedConfigsAreBounded(t *testing.T) {
	s := New()
	for i := int64(1); i <= maxAcceptedConfigs+10; i++ {
		s.Apply(uint64(i), putConfig(i, i-1))
	}
	require.Len(t, s.AcceptedConfigs, maxAcceptedConfigs)
	verdict, _ := s.Check(putConfig(maxAcceptedConfigs+10, maxAcceptedConfigs+9))
	require.Equal(t, AlreadyApplied, verdict)
}

// TestZoneOperations checks that an operation on a zone is accepted only on top of the zone's newest one.
// One that changes nothing is accepted too, so that no older opposite operation can follow its
// acknowledgement; one that was overtaken but is in effect is acknowledged.
func TestZoneOperations(t *testing.T) {
	operation := func(kind string, baseSeq uint64) *Operation {
		return &Operation{Kind: kind, Zone: "z", BaseZoneSeq: baseSeq}
	}
	s := New()
	for i, step := range []struct {
		kind    string
		baseSeq uint64
		verdict Verdict
	}{
		{KindRestore, 0, Accept}, // 1: the zone is not evacuated
		{KindEvacuate, 0, Outdated},
		{KindRestore, 0, AlreadyApplied},
		{KindEvacuate, 1, Accept}, // 4
		{KindRestore, 1, Outdated},
		{KindEvacuate, 1, AlreadyApplied},
		{KindEvacuate, 4, Accept}, // 7: the zone is evacuated already
		{KindRestore, 4, Outdated},
		{KindRestore, 7, Accept}, // 9
	} {
		o := operation(step.kind, step.baseSeq)
		verdict, err := s.Check(o)
		require.Equal(t, step.verdict, verdict, "step %d", i+1)
		require.Equal(t, verdict == Outdated, err != nil, "step %d: verdict %d, error %v", i+1, verdict, err)
		if verdict == Accept {
			s.Apply(uint64(i+1), o)
		}
	}
	require.Empty(t, s.Evacuated)
	require.Equal(t, uint64(9), s.Restored["z"])
	s.Apply(10, operation(KindEvacuate, 9))
	s.Apply(11, operation(KindEvacuate, 10))
	require.Equal(t, uint64(10), s.Evacuated["z"], "a repeated evacuation keeps the first sequence number")
}

// TestCommittedConfigurationOfAnotherBuildIsApplied guards against CONFIG by replicas that end in different states
// during a rolling upgrade: what the head of a build with another check has committed is in force everywhere.
func TestCommittedConfigurationOfAnotherBuildIsApplied(t *testing.T) {
	const body = `{"version":3,"routes":[{"host":"a.example","path_prefix":"/","timeout_ms":1,"service":"unknown"}],"services":[]}`
	o := &Operation{Kind: KindConfig, Body: []byte(body)}
	s := New()
	verdict, _ := s.Check(o)
	require.Equal(t, Invalid, verdict, "this build doesn't accept it itself")
	s.Apply(1, o)
	require.EqualValues(t, 3, s.ConfigVersion)
	require.Equal(t, body, string(s.Config))
	verdict, err := s.Check(o)
	require.Equal(t, AlreadyApplied, verdict, "acknowledged again: %v", err)
	verdict, err = s.Check(&Operation{Kind: KindConfig, Body: []byte(`{"version":4,"routes":[],"services":[]}`), BaseVersion: 3})
	require.Equal(t, Accept, verdict, "a change on top of it: %v", err)
}
