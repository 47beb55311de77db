package main

import (
	"sync"

	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
)

// versions puts versions of the settings in force while the mixer serves. Nothing is done until apply is called.
type versions struct {
	start  protocol.Config
	router *routing.Router
	sites  *siteWatch

	mu    sync.Mutex
	force protocol.Config // what is in force
}

func newVersions(c protocol.Config, router *routing.Router, sites *siteWatch) *versions {
	return &versions{start: c, router: router, sites: sites, force: c}
}

// apply puts a document in force for what is taken from now on. Where it is rejected, by a *charter.SettingError, nothing changes.
func (v *versions) apply(document []byte) error {
	c, err := v.start.Overlay(document)
	if err != nil {
		return err
	}
	v.mu.Lock() // also while it is put in force: two versions never cross
	defer v.mu.Unlock()
	v.router.Adopt(c.Mixer, c.Limits.MaxOpenRequests)
	v.sites.adopt(c)
	v.force = c
	return nil
}

// config gives the configuration in force.
func (v *versions) config() protocol.Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.force
}
