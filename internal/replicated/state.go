// Package replicated implements the state machine that the core controllers replicate: the operator's
// configuration, evacuated zones, versions of model weights and lease holders. The state changes only by
// operations, which all replicas apply in the same committed order with the same result. It has no I/O and
// no clock.
package replicated

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"nettlefold/internal/config"
)

// Kinds of operations. The values are stored and sent, and keep their names for compatibility.
const (
	KindConfig   = "config"
	KindEvacuate = "evacuate"
	KindRestore  = "restore" // ends the evacuation of a zone
	KindVersion  = "version"
	KindLease    = "duty"
)

// maxAcceptedConfigs is the number of digests of accepted configurations that are kept, to recognize a repeated
// submission. Far fewer are ever sent again.
const maxAcceptedConfigs = 1024

// Operation is a change of the state. Which fields are set depends on its kind.
type Operation struct {
	Kind         string `cbor:"1,keyasint"`
	Body         []byte `cbor:"2,keyasint,omitempty"` // the configuration as received
	BaseVersion  int64  `cbor:"3,keyasint,omitempty"` // the version that the configuration is based on
	Zone         string `cbor:"4,keyasint,omitempty"`
	Model        string `cbor:"5,keyasint,omitempty"`
	Version      int64  `cbor:"6,keyasint,omitempty"` // of the model's weights
	LeaseName    string `cbor:"7,keyasint,omitempty"`
	Holder       string `cbor:"8,keyasint,omitempty"`
	FencingToken uint64 `cbor:"9,keyasint,omitempty"` // the last known token of the lease
	// BaseZoneSeq is the sequence number of the zone's newest operation when the operator's request to
	// evacuate the zone, or to end the evacuation, was received. With it a delayed operation can't undo a
	// newer one.
	BaseZoneSeq uint64 `cbor:"10,keyasint,omitempty"`
	// SharingSince is PromptSharing.Since once the configuration is in force, as the head of the chain decided.
	// It is nil for other operations, and from the head of a build that doesn't know it.
	SharingSince *int64 `cbor:"11,keyasint,omitempty"`
}

// ConfigDigest identifies a configuration by its text and the version that it is based on.
type ConfigDigest [16]byte

// LeaseRecord is the holder of a lease and the fencing token under which it acts.
type LeaseRecord struct {
	Holder       string `cbor:"1,keyasint"`
	FencingToken uint64 `cbor:"2,keyasint" json:"Fence"` // JSON name kept for compatibility
}

// ModelVersion is the version of a model's weights that is wanted.
type ModelVersion struct {
	Version int64  `cbor:"1,keyasint"`
	Seq     uint64 `cbor:"2,keyasint"` // of the operation that set it
}

// State is the result of all operations so far.
type State struct {
	Seq             uint64                  `cbor:"1,keyasint"` // of the newest operation
	ConfigSeq       uint64                  `cbor:"2,keyasint"` // of the newest configuration
	Config          []byte                  `cbor:"3,keyasint"`
	ConfigVersion   int64                   `cbor:"4,keyasint"`
	AcceptedConfigs []ConfigDigest          `cbor:"5,keyasint"` // oldest first
	Evacuated       map[string]uint64       `cbor:"6,keyasint"` // by zone, the sequence number of the operation that evacuated it
	Models          map[string]ModelVersion `cbor:"7,keyasint"`
	Leases          map[string]LeaseRecord  `cbor:"8,keyasint"`
	Restored        map[string]uint64       `cbor:"9,keyasint"` // by zone, the sequence number of the operation that ended its evacuation
	// ZoneSeqs has, by zone, the sequence number of its newest operation, an evacuation or its end, including
	// those that changed nothing.
	ZoneSeqs map[string]uint64 `cbor:"10,keyasint"`
	// PromptSharing is never nil. It is replaced, never modified.
	PromptSharing *PromptSharing `cbor:"11,keyasint"`
}

// New returns the state before the first operation.
func New() *State {
	return &State{
		Evacuated: map[string]uint64{}, Models: map[string]ModelVersion{}, Leases: map[string]LeaseRecord{},
		Restored: map[string]uint64{}, ZoneSeqs: map[string]uint64{}, PromptSharing: &PromptSharing{Complete: true},
	}
}

// Decode decodes a state that Encode encoded, also one of an earlier build.
func Decode(encoded []byte) (*State, error) {
	s := New()
	s.PromptSharing = nil
	err := cbor.Unmarshal(encoded, s)
	if err == nil && s.PromptSharing == nil {
		s.PromptSharing, err = unrecordedSharing(s)
	}
	if err != nil {
		return nil, fmt.Errorf("replicated: decode state: %w", err)
	}
	return s, nil
}

// Size returns the approximate size of the encoded state in bytes.
func (s *State) Size() int {
	const bytesPerEntry = 64
	return len(s.Config) + len(s.AcceptedConfigs)*len(ConfigDigest{}) + nameBytes(s.PromptSharing.Tenants) +
		bytesPerEntry*(len(s.Evacuated)+len(s.Restored)+len(s.Models)+len(s.Leases))
}

// Encode encodes the state.
func (s *State) Encode() []byte { return mustEncode(s) }

// Encode encodes the operation.
func (o *Operation) Encode() []byte { return mustEncode(o) }

func mustEncode(v any) []byte {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // impossible: all values of the types here can be encoded
	}
	return encoded
}

// DecodeOperation decodes an operation that Encode encoded.
func DecodeOperation(encoded []byte) (*Operation, error) {
	o := new(Operation)
	if err := cbor.Unmarshal(encoded, o); err != nil {
		return nil, fmt.Errorf("replicated: decode operation: %w", err)
	}
	return o, nil
}

// configDigest returns the digest of the configuration and its base version.
func (o *Operation) configDigest() (d ConfigDigest) {
	sum := sha256.Sum256(append(fmt.Appendf(nil, "%d\n", o.BaseVersion), o.Body...))
	copy(d[:], sum[:])
	return d
}

// Verdict is the result of checking a proposed operation.
type Verdict int

// The verdicts.
const (
	Accept         Verdict = iota // the operation is to be applied
	AlreadyApplied                // it is in effect, or was applied before
	Conflict                      // it is based on another version or fencing token
	Outdated                      // a newer operation was committed first; the caller may request it again
	Invalid                       // it can never be applied
)

// Check returns the verdict on an operation on top of this state. An operation that was applied before is
// recognized before any other check, because a caller that missed the acknowledgement may repeat it. The
// error is the reason if the verdict is neither Accept nor AlreadyApplied; operators match its text.
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
		lease := s.Leases[o.LeaseName]
		if lease.Holder == o.Holder {
			return AlreadyApplied, nil
		}
		if lease.FencingToken != o.FencingToken {
			return Conflict, fmt.Errorf("duty %s is held by %s under fence %d", o.LeaseName, lease.Holder, lease.FencingToken)
		}
		return Accept, nil
	}
	return Invalid, fmt.Errorf("operation of unknown kind %q", o.Kind)
}

// FencingTokenAfter returns the fencing token that the lease has once o, a lease operation that was checked
// against this state, is applied with sequence number seq.
func (s *State) FencingTokenAfter(o *Operation, seq uint64) uint64 {
	if lease := s.Leases[o.LeaseName]; lease.Holder == o.Holder {
		return lease.FencingToken
	}
	return seq
}

func alreadyAppliedIf(inEffect bool) Verdict {
	if inEffect {
		return AlreadyApplied
	}
	return Accept
}

// ZoneSeq returns the sequence number of the newest operation that evacuated or restored a zone, 0 if there
// is none.
func (s *State) ZoneSeq(zone string) uint64 { return s.ZoneSeqs[zone] }

// checkZone accepts an operation that is based on the zone's newest one, even if it changes nothing: once it
// is acknowledged, no older opposite operation may be accepted. An operation that is based on an older one
// is acknowledged if it is in effect anyway.
func (s *State) checkZone(o *Operation, inEffect bool) (Verdict, error) {
	newest := s.ZoneSeq(o.Zone)
	switch {
	case o.BaseZoneSeq == newest:
		return Accept, nil
	case inEffect:
		return AlreadyApplied, nil
	}
	return Outdated, fmt.Errorf("zone %s: operation %d came before this order, which was received after operation %d", o.Zone, newest, o.BaseZoneSeq)
}

// checkConfig accepts a valid configuration that is based on the current version and has a higher one.
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

// Apply applies a committed operation with sequence number seq. Check of some build has accepted it.
func (s *State) Apply(seq uint64, o *Operation) {
	s.Seq = seq
	switch o.Kind {
	case KindConfig:
		// Not checked again: the head may be of a build with another check, and all replicas must end in one state.
		doc, err := config.Decode(o.Body)
		if err != nil {
			return // it is no configuration for any build
		}
		s.Config, s.ConfigVersion, s.ConfigSeq = o.Body, doc.Version, seq
		s.PromptSharing = s.PromptSharing.after(doc).startingAt(o.SharingSince)
		s.AcceptedConfigs = append(s.AcceptedConfigs, o.configDigest())
		if excess := len(s.AcceptedConfigs) - maxAcceptedConfigs; excess > 0 {
			s.AcceptedConfigs = slices.Delete(s.AcceptedConfigs, 0, excess)
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

// Clone returns a copy of the state. The copies share byte slices and the prompt sharing, which are never modified.
func (s *State) Clone() *State {
	c := *s
	c.AcceptedConfigs = slices.Clone(s.AcceptedConfigs)
	c.Evacuated, c.Models = maps.Clone(s.Evacuated), maps.Clone(s.Models)
	c.Leases, c.Restored = maps.Clone(s.Leases), maps.Clone(s.Restored)
	c.ZoneSeqs = maps.Clone(s.ZoneSeqs)
	return &c
}
