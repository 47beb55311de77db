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

// open reads the state from disk and starts a replica of it; a disk with none gets an identity first.
func (c *Controller) open() error {
	store, saved, err := c.load()
	var damage *durable.DamageError
	if errors.As(err, &damage) {
		c.log.Error().Err(err).Str("step", "open").Msg("the state on disk is damaged: it is set aside, and this machine joins as a newcomer")
		if err := durable.SetAside(c.settings.DataDirectory); err != nil {
			return err
		}
		store, saved, err = c.load()
	}
	if err != nil {
		return err
	}
	if saved.Meta.Identity == "" {
		saved.Meta = c.firstMeta(damage != nil)
		if err := store.Write([]chain.Record{{Meta: &saved.Meta}}); err != nil {
			store.Close()
			return err
		}
	}
	c.store = store
	c.opened++
	c.replica = chain.New(chain.Options{
		Self:       c.self(saved.Meta.Identity),
		MinCopies:  c.settings.MachineFaultTolerance + 1,
		Timing:     chain.DefaultTiming(),
		FirstNonce: randomNonce(),
	}, saved)
	c.replica.SetSeeds(c.seedAddrs())
	if !c.leaving.IsZero() {
		c.replica.Leave(c.now())
	}
	c.log.Info().Str("step", "open").Str("identity", string(saved.Meta.Identity)).Uint64("epoch", saved.Meta.View.Epoch).
		Int("entries", len(saved.Entries)).Msg("state read")
	return nil
}

// randomNonce draws a number that no earlier start has used for its confirmations, but for a chance of some 2^-40.
func randomNonce() uint64 {
	var random [8]byte
	rand.Read(random[:])
	return binary.LittleEndian.Uint64(random[:]) >> 1 // room to count upwards
}

// load opens the store and reads it.
func (c *Controller) load() (*durable.Store, chain.PersistedState, error) {
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

// firstMeta gives an empty disk its identity. At the first start of the whole system the seeds are the first view, which all
// machines know alike; anyone else is a newcomer, who answers for nothing that a lost or damaged disk may have promised.
func (c *Controller) firstMeta(damaged bool) chain.Meta {
	if c.settings.FirstStart && !damaged && slices.Contains(c.settings.Seeds, c.settings.ControlAddr) {
		view := chain.View{Epoch: 1}
		for _, seed := range c.settings.Seeds {
			id := chain.NodeID(seed + firstIdentity)
			view.Acceptors = append(view.Acceptors, chain.Member{ID: id, Addr: c.settings.InternalAddr(seed), Control: seed})
			view.Chain = append(view.Chain, id)
		}
		return chain.Meta{Identity: chain.NodeID(c.settings.ControlAddr + firstIdentity), View: view, LogEpoch: 1}
	}
	var random [8]byte
	rand.Read(random[:])
	return chain.Meta{Identity: chain.NodeID(c.settings.ControlAddr + "/" + hex.EncodeToString(random[:]))}
}

func (c *Controller) tryReopen() {
	if time.Since(c.broken) < reopenAfter {
		return
	}
	c.broken = time.Now()
	c.store.Close()
	if err := c.open(); err != nil {
		c.log.Error().Err(err).Str("step", "reopen").Msg("disk still fails")
		return
	}
	if err := c.store.Renew(); err != nil {
		c.log.Error().Err(err).Str("step", "reopen").Msg("disk still fails")
		return
	}
	c.broken = time.Time{}
	c.publish(true)
}
