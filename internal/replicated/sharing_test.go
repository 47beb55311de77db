package replicated

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// tenancy is whether a tenant is in a configuration, and isolated.
type tenancy int

const (
	absent tenancy = iota
	sharing
	isolated
	tenancies
)

// tenantConfig returns an operation that sets a configuration with the given tenants on top of the version
// before. The tenants are named t0, t1, ...
func tenantConfig(version int64, tenants ...tenancy) *Operation {
	var list []string
	for i, tenant := range tenants {
		if tenant != absent {
			list = append(list, fmt.Sprintf(`{"name":"t%d","api_keys":[],"isolated":%t}`, i, tenant == isolated))
		}
	}
	body := fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"tenants":[%s]}`, version, strings.Join(list, ","))
	return &Operation{Kind: KindConfig, Body: []byte(body), BaseVersion: version - 1}
}

// commit applies an operation as the head of the chain would have appended it.
func commit(t testing.TB, s *State, o *Operation) {
	t.Helper()
	prepared, err := s.Prepare(o)
	require.NoError(t, err)
	s.Apply(s.Seq+1, prepared)
}

// withoutSharing returns the encoded state as a build that doesn't record the sharing would encode it.
func withoutSharing(t testing.TB, s *State) []byte {
	t.Helper()
	fields := map[int]cbor.RawMessage{}
	require.NoError(t, cbor.Unmarshal(s.Encode(), &fields))
	delete(fields, 11)
	encoded, err := cbor.Marshal(fields)
	require.NoError(t, err)
	return encoded
}

// TestSharingStartsAnewWithIsolation checks after which changes of tenants the common salt starts anew: when a
// tenant that shared prompts under it is isolated, also if it was not in the configuration meanwhile, and
// after no other change.
func TestSharingStartsAnewWithIsolation(t *testing.T) {
	s := New()
	for i, step := range []struct {
		tenants []tenancy
		since   int64
		what    string
	}{
		{[]tenancy{sharing, sharing, absent}, 0, "first configuration"},
		{[]tenancy{sharing, sharing, isolated}, 0, "a tenant that never shared"},
		{[]tenancy{isolated, sharing, isolated}, 3, "a tenant that shared"},
		{[]tenancy{isolated, sharing, isolated}, 3, "no change of tenants"},
		{[]tenancy{sharing, sharing, absent}, 3, "an older configuration again"},
		{[]tenancy{absent, sharing, absent}, 3, "a tenant leaves"},
		{[]tenancy{isolated, sharing, absent}, 7, "it returns isolated"},
		{[]tenancy{absent, absent, absent}, 7, "no tenants"},
		{[]tenancy{isolated, isolated, isolated}, 9, "t1 shared before"},
		{[]tenancy{isolated, isolated, isolated}, 9, "nobody shared since"},
	} {
		commit(t, s, tenantConfig(int64(i+1), step.tenants...))
		require.Equal(t, step.since, s.PromptSharing.Since, "configuration %d: %s", i+1, step.what)
	}
	decoded, err := Decode(s.Encode())
	require.NoError(t, err)
	require.Equal(t, s, decoded)
}

// TestSharingTenantsAreBounded checks that the recorded names stay bounded when tenants come and go, and that a
// name that was dropped can't be isolated without a new salt.
func TestSharingTenantsAreBounded(t *testing.T) {
	s := New()
	name := strings.Repeat("x", 2000)
	for version := int64(1); version <= 300; version++ {
		body := fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"tenants":[{"name":"%s%d","api_keys":[]}]}`, version, name, version)
		commit(t, s, &Operation{Kind: KindConfig, Body: []byte(body), BaseVersion: version - 1})
		require.LessOrEqual(t, nameBytes(s.PromptSharing.Tenants), maxSharingTenantBytes)
	}
	require.Positive(t, s.PromptSharing.Since, "the first names were dropped, so the salt started anew")
	require.True(t, s.PromptSharing.Complete)
}

// TestStateOfEarlierBuild checks what a state without the sharing decodes to.
func TestStateOfEarlierBuild(t *testing.T) {
	decode := func(s *State) *PromptSharing {
		decoded, err := Decode(withoutSharing(t, s))
		require.NoError(t, err)
		return decoded.PromptSharing
	}
	s := New()
	require.Equal(t, &PromptSharing{Complete: true}, decode(s), "before the first configuration")
	commit(t, s, tenantConfig(1, sharing, sharing))
	require.Equal(t, &PromptSharing{}, decode(s), "nobody is isolated: the first salt stays")
	commit(t, s, tenantConfig(2, isolated, sharing))
	require.Equal(t, &PromptSharing{Since: 2, Tenants: []string{"t1"}, Complete: true}, decode(s), "t0 may have shared")
}

// TestReplicasAgreeOnSharing checks that replicas that started from states of an earlier build, at different
// versions, agree after the next configuration whose head is of this build, whichever of them that is.
func TestReplicasAgreeOnSharing(t *testing.T) {
	for head := range 3 {
		var replicas []*State
		recorded := New()
		for version := int64(1); version <= 3; version++ {
			o := tenantConfig(version, sharing, isolated)
			for _, replica := range replicas {
				replica.Apply(replica.Seq+1, o)
			}
			recorded.Apply(recorded.Seq+1, o)
			replica, err := Decode(withoutSharing(t, recorded))
			require.NoError(t, err)
			replicas = append(replicas, replica)
		}
		require.NotEqual(t, replicas[0].PromptSharing.Since, replicas[2].PromptSharing.Since, "before")
		prepared, err := replicas[head].Prepare(tenantConfig(4, sharing, isolated))
		require.NoError(t, err)
		for _, replica := range replicas {
			replica.Apply(replica.Seq+1, prepared)
			require.Equal(t, *prepared.SharingSince, replica.PromptSharing.Since, "head %d", head)
		}
	}
}

// sharingModel is a small fleet: replicas that apply the same configurations, and fronts, each of which uses
// the snapshot of any replica at any version. It records the common salts that a front may use at a version.
type sharingModel struct {
	configs [][]tenancy
	salts   []map[int64]bool // by version, starting with 1
}

// violation returns how a request could use a prompt of another tenant although one of the two is isolated, ""
// if it can't. The maker's front and the user's may be at different versions; what counts is the newer one.
func (m *sharingModel) violation() string {
	for made := range m.configs {
		for used := range m.configs {
			if v := m.violationBetween(made, used); v != "" {
				return v
			}
		}
	}
	return ""
}

func (m *sharingModel) violationBetween(made, used int) string {
	newer := m.configs[max(made, used)]
	for salt := range m.salts[made] {
		if !m.salts[used][salt] {
			continue
		}
		for maker, tenant := range m.configs[made] {
			for user, other := range m.configs[used] {
				if maker != user && tenant == sharing && other == sharing && (newer[maker] == isolated || newer[user] == isolated) {
					return fmt.Sprintf("%v: t%d uses at version %d what t%d made at %d under salt %d", m.configs, user, used+1, maker, made+1, salt)
				}
			}
		}
	}
	return ""
}

// sharingCase is one order of events: the configurations, the version after which the second replica is started
// anew with the state of an earlier build (0: never), and who is the head for each configuration.
type sharingCase struct {
	configs   [][]tenancy
	restarted int
	heads     []int // 0 and 1 are replicas, 2 is the head of an earlier build
}

// play applies the configurations to both replicas by a transition and records the salts.
func (c sharingCase) play(t testing.TB, apply func(s *State, o *Operation)) *sharingModel {
	replicas := []*State{New(), New()}
	m := &sharingModel{configs: c.configs}
	for i, tenants := range c.configs {
		o := tenantConfig(int64(i+1), tenants...)
		if head := c.heads[i]; head < len(replicas) {
			prepared, err := replicas[head].Prepare(o)
			require.NoError(t, err)
			o = prepared
		}
		for _, replica := range replicas {
			apply(replica, o)
		}
		if c.restarted == i+1 {
			replica, err := Decode(withoutSharing(t, replicas[1]))
			require.NoError(t, err)
			replicas[1] = replica
		}
		m.salts = append(m.salts, map[int64]bool{replicas[0].PromptSharing.Since: true, replicas[1].PromptSharing.Since: true})
	}
	return m
}

// sharingCases yields all orders of events with a number of configurations of two tenants.
func sharingCases(configs int) func(yield func(sharingCase) bool) {
	return func(yield func(sharingCase) bool) {
		variants := int(tenancies) * int(tenancies)
		for sequence := range power(variants, configs) {
			var c sharingCase
			for range configs {
				c.configs = append(c.configs, []tenancy{tenancy(sequence % int(tenancies)), tenancy(sequence / int(tenancies) % int(tenancies))})
				sequence /= variants
			}
			for heads := range power(3, configs) {
				c.heads = nil
				for range configs {
					c.heads = append(c.heads, heads%3)
					heads /= 3
				}
				for c.restarted = range configs {
					if !yield(c) {
						return
					}
				}
			}
		}
	}
}

func power(base, exponent int) int {
	result := 1
	for range exponent {
		result *= base
	}
	return result
}

// TestNoOrderOfConfigsSharesIsolatedPrompts tries all orders of up to three configurations of two tenants, with
// fronts at different versions, a replica of an earlier build and any head. It guards against WALL by a change
// of tenants.
func TestNoOrderOfConfigsSharesIsolatedPrompts(t *testing.T) {
	apply := func(s *State, o *Operation) { s.Apply(s.Seq+1, o) }
	for configs := 1; configs <= 3; configs++ {
		for c := range sharingCases(configs) {
			require.Empty(t, c.play(t, apply).violation(), "heads %v, restarted after %d", c.heads, c.restarted)
		}
	}
}

// TestPlantedSharingFaultsAreFound checks that the search of TestNoOrderOfConfigsSharesIsolatedPrompts finds
// faults.
func TestPlantedSharingFaultsAreFound(t *testing.T) {
	for name, planted := range map[string]func(s *State, o *Operation){
		"one salt for ever": func(s *State, o *Operation) {
			s.Apply(s.Seq+1, o)
			s.PromptSharing = &PromptSharing{Complete: true}
		},
		"tenants that leave are forgotten": func(s *State, o *Operation) {
			s.Apply(s.Seq+1, o)
			p := *s.PromptSharing
			p.Tenants = slices.DeleteFunc(slices.Clone(p.Tenants), func(name string) bool { return !strings.Contains(string(s.Config), `"`+name+`"`) })
			s.PromptSharing = &p
		},
		"an unknown history counts as empty": func(s *State, o *Operation) {
			p := *s.PromptSharing
			p.Complete = true
			s.PromptSharing = &p
			s.Apply(s.Seq+1, o)
		},
		"an earlier start is complete": func(s *State, o *Operation) {
			s.Apply(s.Seq+1, o)
			p := *s.PromptSharing
			p.Complete = true
			s.PromptSharing = &p
		},
	} {
		t.Run(name, func(t *testing.T) {
			for configs := 1; configs <= 3; configs++ {
				for c := range sharingCases(configs) {
					if c.play(t, planted).violation() != "" {
						return
					}
				}
			}
			require.Fail(t, "the search found nothing")
		})
	}
}
