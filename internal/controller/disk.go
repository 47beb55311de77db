package controller

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"slices"
	"time"

	"nettlefold/internal/chain"
	"nettlefold/internal/durable"
)

// openReplica loads the state from disk and starts a replica from it. An empty disk is given an
// identity first. A damaged store is quarantined, and the machine joins with a new identity.
func (c *Controller) openReplica() error {
	store, saved, err := c.loadStore()
	var damage *durable.DamageError
	if errors.As(err, &damage) {
		c.log.Error().Err(err).Str("step", "open").Msg("state on disk is damaged; quarantining it and joining with a new identity")
		if err := durable.Quarantine(c.settings.DataDirectory); err != nil {
			return err
		}
		store, saved, err = c.loadStore()
	}
	if err != nil {
		return err
	}
	if saved.Meta.Identity == "" {
		saved.Meta = c.initialMeta(damage != nil)
		if err := store.Write([]chain.Record{{Meta: &saved.Meta}}); err != nil {
			store.Close()
			return err
		}
	}
	c.store = store
	c.incarnation++
	c.replica = chain.New(chain.Options{
		Self:       c.selfMember(saved.Meta.Identity),
		MinCopies:  c.settings.MachineFaultTolerance + 1, // includes this machine
		Timing:     chain.DefaultTiming(),
		FirstNonce: randomNonce(),
	}, saved)
	c.replica.SetSeeds(c.seedAddrs())
	if !c.leaveStartedAt.IsZero() {
		c.replica.Leave(c.sinceStart())
	}
	c.log.Info().Str("step", "open").Str("identity", string(saved.Meta.Identity)).Uint64("epoch", saved.Meta.View.Epoch).
		Int("entries", len(saved.Entries)).Msg("state loaded")
	return nil
}

// randomNonce returns a random first nonce for confirmations, so that a late confirmation of an
// earlier start does not count for this one. The chance that the nonces of two starts overlap is
// about 2^-40.
func randomNonce() uint64 {
	var random [8]byte
	rand.Read(random[:])
	return binary.LittleEndian.Uint64(random[:]) >> 1 // leaves room to count up
}

// loadStore opens the store and loads its contents.
func (c *Controller) loadStore() (*durable.Store, chain.PersistedState, error) {
	store, err := durable.Open(c.settings.DataDirectory)
	if err != nil {
		return nil, chain.PersistedState{}, err
	}
	saved, err := store.Load()
	if err != nil {
		store.Close()
		return nil, chain.PersistedState{}, err
	}
	return store, saved, nil
}

// initialMeta returns the metadata of an empty disk. At the first start of the whole system the
// seeds form the first view, which all machines derive alike. Any other machine joins with a new
// random identity: a lost or damaged disk may have recorded promises that the old identity would
// have to keep.
func (c *Controller) initialMeta(damaged bool) chain.Meta {
	if c.settings.FirstStart && !damaged && slices.Contains(c.settings.Seeds, c.settings.ControlAddr) {
		view := chain.View{Epoch: 1}
		for _, seed := range c.settings.Seeds {
			id := chain.NodeID(seed + seedIdentitySuffix)
			view.Acceptors = append(view.Acceptors, chain.Member{ID: id, Addr: c.settings.InternalAddr(seed), Control: seed})
			view.Chain = append(view.Chain, id)
		}
		return chain.Meta{Identity: chain.NodeID(c.settings.ControlAddr + seedIdentitySuffix), View: view, LogEpoch: 1}
	}
	var random [8]byte
	rand.Read(random[:])
	return chain.Meta{Identity: chain.NodeID(c.settings.ControlAddr + "/" + hex.EncodeToString(random[:]))}
}

// tryReopen reopens the store after a failed write, at most once every reopenDelay.
func (c *Controller) tryReopen() {
	if time.Since(c.diskFailedAt) < reopenDelay {
		return
	}
	c.diskFailedAt = time.Now()
	c.store.Close()
	if err := c.openReplica(); err != nil {
		c.log.Error().Err(err).Str("step", "reopen").Msg("cannot reopen the store; will retry")
		return
	}
	if err := c.store.Rewrite(); err != nil {
		c.log.Error().Err(err).Str("step", "reopen").Msg("cannot rewrite the store after a failed write; will retry")
		return
	}
	c.diskFailedAt = time.Time{}
	c.publish(true)
}
