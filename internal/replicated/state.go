// Package replicated is the state that the core machines keep: the operator's configuration, evacuated zones, model versions and
// the owners of duties. It changes only by operations in their agreed order, alike on every replica. It has no I/O and no clock.
package replicated

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"nettlefold/internal/config"
)

// Kinds of an operation.
const (
	KindConfig   = "config"
	KindEvacuate = "evacuate"
	KindRestore  = "restore"
	KindVersion  = "version"
	KindLease    = "duty"
)

// rememberedOrders is how many configurations are known as taken after newer ones: far more than are sent again.
const maxAcceptedConfigs = 1024

// Operation is one change.
type Operation struct {
	Kind         string `cbor:"1,keyasint"`
	Body         []byte `cbor:"2,keyasint,omitempty"` // configuration, as it was sent
	BaseVersion  int64  `cbor:"3,keyasint,omitempty"` // the version it builds on
	Zone         string `cbor:"4,keyasint,omitempty"`
	Model        string `cbor:"5,keyasint,omitempty"`
	Version      int64  `cbor:"6,keyasint,omitempty"`
	LeaseName    string `cbor:"7,keyasint,omitempty"`
	Holder       string `cbor:"8,keyasint,omitempty"`
	FencingToken uint64 `cbor:"9,keyasint,omitempty"` // the fence that the duty was seen under
	// Based is the ZoneSeq that was the newest when an evacuation, or its end, was received from the operator: one that was held up on its
	// way must not undo a newer order.
	BaseZoneSeq uint64 `cbor:"10,keyasint,omitempty"`
}

// Digest tells configurations apart: their text and what they build on.
type ConfigDigest [16]byte

// Duty is who may act for a key, and the fencing token under which.
type LeaseRecord struct {
	Holder       string `cbor:"1,keyasint"`
	FencingToken uint64 `cbor:"2,keyasint"`
}

// Model is the version of a model's weights that is wanted.
type ModelVersion struct {
	Version int64  `cbor:"1,keyasint"`
	Seq     uint64 `cbor:"2,keyasint"` // of the operation that named it
}

// State is what the operations so far make.
type State struct {
	Seq             uint64                  `cbor:"1,keyasint"` // of the newest operation
	ConfigSeq       uint64                  `cbor:"2,keyasint"` // of the newest configuration
	Config          []byte                  `cbor:"3,keyasint"`
	ConfigVersion   int64                   `cbor:"4,keyasint"` // the configuration's
	AcceptedConfigs []ConfigDigest          `cbor:"5,keyasint"` // oldest first
	Evacuated       map[string]uint64       `cbor:"6,keyasint"` // zone to the operation's number
	Models          map[string]ModelVersion `cbor:"7,keyasint"`
	Leases          map[string]LeaseRecord  `cbor:"8,keyasint"`
	Restored        map[string]uint64       `cbor:"9,keyasint"` // zones that were evacuated, and the operation that took it back
	// ZoneOrders is the newest order for each zone, also if it changed nothing.
	ZoneSeqs map[string]uint64 `cbor:"10,keyasint"`
}

// New is the state before the first operation.
func New() *State {
	return &State{Evacuated: map[string]uint64{}, Models: map[string]ModelVersion{}, Leases: map[string]LeaseRecord{}, Restored: map[string]uint64{}, ZoneSeqs: map[string]uint64{}}
}

// Decode reads a state that Encode wrote.
func Decode(encoded []byte) (*State, error) {
	s := New()
	if err := cbor.Unmarshal(encoded, s); err != nil {
		return nil, fmt.Errorf("replicated state: %w", err)
	}
	return s, nil
}

// Size is about how many bytes the state's encoding has.
func (s *State) Size() int {
	const perEntry = 64
	return len(s.Config) + len(s.AcceptedConfigs)*len(ConfigDigest{}) + perEntry*(len(s.Evacuated)+len(s.Restored)+len(s.Models)+len(s.Leases))
}

// Encode writes the state.
func (s *State) Encode() []byte { return mustEncode(s) }

// Encode writes the operation.
func (o *Operation) Encode() []byte { return mustEncode(o) }

func mustEncode(v any) []byte {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // no type here has a value that cannot be written
	}
	return encoded
}

// DecodeOperation reads an operation.
func DecodeOperation(encoded []byte) (*Operation, error) {
	o := new(Operation)
	if err := cbor.Unmarshal(encoded, o); err != nil {
		return nil, fmt.Errorf("operation: %w", err)
	}
	return o, nil
}

func (o *Operation) configDigest() (d ConfigDigest) {
	sum := sha256.Sum256(append(fmt.Appendf(nil, "%d\n", o.BaseVersion), o.Body...))
	copy(d[:], sum[:])
	return d
}

// Verdict is what becomes of an operation that is offered.
type Verdict int

// The verdicts.
const (
	Accept         Verdict = iota // it changes the state
	AlreadyApplied                // it holds, or was taken before
	Conflict                      // it builds on another version
	Outdated                      // it was overtaken on its way; whoever still wants it must ask for it anew
	Invalid                       // it can never be taken
)

// Check tells what becomes of an operation on top of this state. An order that was taken is known again before anything else is
// held against it: it may be repeated by a caller who never heard of its acknowledgement.
func (s *State) Check(o *Operation) (Verdict, error) {
	switch o.Kind {
	case KindConfig:
		return s.checkConfig(o)
	case KindEvacuate:
		return s.checkZone(o, s.Evacuated[o.Zone] != 0)
	case KindRestore:
		return s.checkZone(o, s.Evacuated[o.Zone] == 0)
	case KindVersion:
		return alreadyAppliedIf(s.Models[o.Model].Version >= o.Version), nil
	case KindLease:
		held := s.Leases[o.LeaseName]
		if held.Holder == o.Holder {
			return AlreadyApplied, nil
		}
		if held.FencingToken != o.FencingToken {
			return Conflict, fmt.Errorf("duty %s is held by %s under fence %d", o.LeaseName, held.Holder, held.FencingToken)
		}
		return Accept, nil
	}
	return Invalid, fmt.Errorf("operation of unknown kind %q", o.Kind)
}

// FenceOf is the token under which the holder of a duty has it, once an operation that was held against this state is taken as number seq.
func (s *State) FencingTokenAfter(o *Operation, seq uint64) uint64 {
	if held := s.Leases[o.LeaseName]; held.Holder == o.Holder {
		return held.FencingToken
	}
	return seq
}

func alreadyAppliedIf(holds bool) Verdict {
	if holds {
		return AlreadyApplied
	}
	return Accept
}

// ZoneSeq is the number of the newest order for a zone, to evacuate it or to take that back, 0 if there was none.
func (s *State) ZoneSeq(zone string) uint64 { return s.ZoneSeqs[zone] }

// checkZone takes an order that is based on the newest one, also where it changes nothing: once it is acknowledged no older opposite order
// may be taken any more. One that was overtaken is acknowledged where it holds all the same.
func (s *State) checkZone(o *Operation, holds bool) (Verdict, error) {
	newest := s.ZoneSeq(o.Zone)
	switch {
	case o.BaseZoneSeq == newest:
		return Accept, nil
	case holds:
		return AlreadyApplied, nil
	}
	return Outdated, fmt.Errorf("zone %s: operation %d came before this order, which was received after operation %d", o.Zone, newest, o.BaseZoneSeq)
}

func (s *State) checkConfig(o *Operation) (Verdict, error) {
	if slices.Contains(s.AcceptedConfigs, o.configDigest()) {
		return AlreadyApplied, nil
	}
	doc, err := config.Parse(o.Body)
	if err != nil {
		return Invalid, err
	}
	if o.BaseVersion != s.ConfigVersion {
		return Conflict, fmt.Errorf("the current version is %d, this change builds on %d", s.ConfigVersion, o.BaseVersion)
	}
	if doc.Version <= s.ConfigVersion {
		return Invalid, &config.InvalidError{Path: "/version", Reason: fmt.Sprintf("%d is not above the current %d", doc.Version, s.ConfigVersion)}
	}
	return Accept, nil
}

// Apply makes the change of an operation that was checked and agreed on, as number seq.
func (s *State) Apply(seq uint64, o *Operation) {
	s.Seq = seq
	switch o.Kind {
	case KindConfig:
		doc, err := config.Parse(o.Body)
		if err != nil {
			return // it was not accepted by Check: no replica takes it
		}
		s.Config, s.ConfigVersion, s.ConfigSeq = o.Body, doc.Version, seq
		s.AcceptedConfigs = append(s.AcceptedConfigs, o.configDigest())
		if over := len(s.AcceptedConfigs) - maxAcceptedConfigs; over > 0 {
			s.AcceptedConfigs = slices.Delete(s.AcceptedConfigs, 0, over)
		}
	case KindEvacuate:
		s.ZoneSeqs[o.Zone] = seq
		if s.Evacuated[o.Zone] == 0 {
			s.Evacuated[o.Zone] = seq
			delete(s.Restored, o.Zone)
		}
	case KindRestore:
		s.ZoneSeqs[o.Zone] = seq
		if s.Evacuated[o.Zone] != 0 {
			delete(s.Evacuated, o.Zone)
			s.Restored[o.Zone] = seq
		}
	case KindVersion:
		s.Models[o.Model] = ModelVersion{Version: o.Version, Seq: seq}
	case KindLease:
		s.Leases[o.LeaseName] = LeaseRecord{Holder: o.Holder, FencingToken: seq}
	}
}

// Clone copies the state; texts that are never changed are shared.
func (s *State) Clone() *State {
	c := *s
	c.AcceptedConfigs = slices.Clone(s.AcceptedConfigs)
	c.Evacuated, c.Models = maps.Clone(s.Evacuated), maps.Clone(s.Models)
	c.Leases, c.Restored = maps.Clone(s.Leases), maps.Clone(s.Restored)
	c.ZoneSeqs = maps.Clone(s.ZoneSeqs)
	return &c
}
