package controller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"nettlefold/internal/distribute"
)

const (
	// maxWitnesses is how many agents of a zone show whether it is partitioned from this machine.
	maxWitnesses = 5
	// witnessSaveInterval is the least time between two writes of the witness file.
	witnessSaveInterval = 5 * time.Second
	// witnessFileName is the name of the witness file in the data directory.
	witnessFileName = "witnesses.json"
)

// zoneAgents has the addresses of up to maxWitnesses agents of each zone.
type zoneAgents map[string][]string

// agentsByZone returns the addresses of up to maxWitnesses agents of each zone.
func agentsByZone(agents []distribute.Agent) zoneAgents {
	byZone := zoneAgents{}
	for _, a := range agents {
		if len(byZone[a.Zone]) < maxWitnesses {
			byZone[a.Zone] = append(byZone[a.Zone], a.Addr)
		}
	}
	return byZone
}

// witnesses is what shows where other machines are. The JSON names are part of the format of the witness file.
type witnesses struct {
	// Peers are agents near each other controller, by its address, as they were when it was last reachable.
	Peers map[string][]string `json:"peers"`
	// Local are agents near this machine.
	Local []string `json:"local"`
}

// equal reports whether two sets of witnesses are the same.
func (w *witnesses) equal(other *witnesses) bool {
	return slices.Equal(w.Local, other.Local) && maps.EqualFunc(w.Peers, other.Peers, slices.Equal)
}

// witnessMemory remembers witnesses across a restart: a machine that starts behind a partition reaches no
// other that could name them. It belongs to the tally loop.
type witnessMemory struct {
	log     zerolog.Logger
	path    string
	known   witnesses
	changed bool          // since the last write of the file began
	savedAt time.Duration // start of that write, since the start of the service
	saving  atomic.Bool
}

// newWitnessMemory reads the witness file of a data directory. Without an intact file nothing is remembered.
func newWitnessMemory(directory string, log zerolog.Logger) *witnessMemory {
	m := &witnessMemory{log: log, path: filepath.Join(directory, witnessFileName)}
	known, err := readWitnessFile(m.path)
	switch {
	case err == nil:
		m.known = known
	case !errors.Is(err, fs.ErrNotExist):
		log.Warn().Err(err).Str("step", "tally witnesses").Msg("cannot read the witness file; starting without it")
	}
	return m
}

// update replaces what is remembered. Without a local witness at present the last ones stay.
func (m *witnessMemory) update(present witnesses) {
	if len(present.Local) == 0 {
		present.Local = m.known.Local
	}
	if !m.known.equal(&present) {
		m.known, m.changed = present, true
	}
}

// saveIfDue writes the witness file in the background if it has changed. A write that hangs delays only the
// next one.
func (m *witnessMemory) saveIfDue(now time.Duration) {
	if !m.changed || m.savedAt != 0 && now-m.savedAt < witnessSaveInterval || m.saving.Swap(true) {
		return
	}
	m.changed, m.savedAt = false, now
	known := m.known
	go func() {
		defer m.saving.Store(false)
		if err := writeWitnessFile(m.path, known); err != nil {
			m.log.Warn().Err(err).Str("step", "tally witnesses").Msg("cannot write the witness file")
		}
	}()
}

// witnessFile is the content of the witness file. A file that a loss of power has torn doesn't match its
// checksum.
type witnessFile struct {
	Witnesses json.RawMessage `json:"witnesses"` // a witnesses
	Checksum  string          `json:"sha256"`    // of Witnesses, in hexadecimal
}

// writeWitnessFile replaces the witness file.
func writeWitnessFile(path string, known witnesses) error {
	encoded, err := json.Marshal(known)
	if err != nil {
		return fmt.Errorf("encode witnesses: %w", err)
	}
	content, err := json.Marshal(witnessFile{encoded, checksumOf(encoded)})
	if err != nil {
		return fmt.Errorf("encode witness file: %w", err)
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, content, 0o644); err != nil {
		return fmt.Errorf("write witness file: %w", err)
	}
	return os.Rename(temporary, path)
}

// readWitnessFile returns the content of an intact witness file.
func readWitnessFile(path string) (known witnesses, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return known, fmt.Errorf("read witness file: %w", err)
	}
	var file witnessFile
	if err := json.Unmarshal(content, &file); err != nil {
		return known, fmt.Errorf("decode witness file: %w", err)
	}
	if file.Checksum != checksumOf(file.Witnesses) {
		return known, errWitnessChecksum
	}
	if err := json.Unmarshal(file.Witnesses, &known); err != nil {
		return known, fmt.Errorf("decode witnesses: %w", err)
	}
	return known, nil
}

// errWitnessChecksum is returned for a witness file whose content doesn't match its checksum.
var errWitnessChecksum = errors.New("read witness file: checksum mismatch")

// checksumOf returns the SHA-256 checksum of a text in hexadecimal.
func checksumOf(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// refreshPeers tells the replica who its peers are and which agents are near each of them and near this
// machine.
func (t *tallyService) refreshPeers(now time.Duration) {
	peers := t.peers()
	t.replica.SetPeers(now, peers.seeds, peers.members)
	for addr, zone := range t.replica.Zones() {
		t.replica.SetWitnesses(now, addr, peers.agents[zone])
	}
	for addr, remembered := range t.witnesses.known.Peers {
		t.replica.RestoreWitnesses(addr, remembered)
	}
	t.witnesses.update(witnesses{Peers: t.replica.Witnesses(), Local: peers.agents[t.replicaOptions.Zone]})
	t.replica.SetLocalWitnesses(t.witnesses.known.Local)
	t.witnesses.saveIfDue(now)
}
