package agent

import (
	"context"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
)

const (
	// listReaderKey is the rendezvous key of the agent that reads the platform's list.
	listReaderKey   = "list"
	listReadTimeout = 900 * time.Millisecond
	maxListPages    = 400
	// maxListBytes bounds the text of all pages together. A backend takes some 250 bytes.
	maxListBytes  = 8 << 20
	stateDraining = "draining"
	// maxListReadAge is the age from which a finished list read is discarded, because its reader
	// may have been paused.
	maxListReadAge = 2 * listReadTimeout
)

// instance is an entry of the platform's instance list.
type instance struct {
	ID      string         `json:"id"`
	Service string         `json:"service"`
	Address string         `json:"address"`
	Zone    string         `json:"zone"`
	Slots   int            `json:"slots"`
	State   string         `json:"state"`
	ColdMS  float64        `json:"cold_remaining_ms"`
	Models  []modelVersion `json:"models"`
}

// modelVersion is the version of a model's weights on an instance.
type modelVersion struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// instancePage is one page of the platform's instance list.
type instancePage struct {
	Instances []instance `json:"instances"`
	Next      *string    `json:"next_page_token"`
}

// readListIfDue starts a read of the platform's list if this agent is due to do one. It also
// requests the list from another agent if no update has arrived for a while.
func (a *Agent) readListIfDue(ctx context.Context) {
	a.requestListIfStale(ctx)
	now := time.Now()
	if a.listSync.reading || !a.listSync.readInputs(a, now).due(rand.Float64()) {
		return
	}
	a.listSync.reading, a.listSync.lastReadAt = true, now
	go func() {
		list, pages, err := a.readList(ctx)
		a.enqueue(func() {
			a.listSync.reading = false
			a.listSync.pageCount = max(a.listSync.pageCount, pages)
			if err != nil {
				if isResponseFault(err) {
					a.faults.count.Add(1)
				}
				a.log.Warn().Err(err).Str("step", "list").Msg("reading the platform's instance list failed")
				return
			}
			if time.Since(now) <= maxListReadAge {
				a.publishList(now, list)
			}
		})
	}()
}

// readList reads all pages of the platform's list and returns the number of pages that it
// requested.
func (a *Agent) readList(ctx context.Context) (list []dispatch.BackendInfo, pages int, err error) {
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	list, token := []dispatch.BackendInfo{}, ""
	for left := int64(maxListBytes); pages < maxListPages; {
		pages++
		page, bytes, err := a.readListPage(ctx, token, left)
		if err != nil {
			return nil, pages, err
		}
		left -= bytes
		for _, entry := range page.Instances {
			list = append(list, backendInfoOf(&entry))
		}
		if page.Next == nil || *page.Next == "" {
			return list, pages, nil
		}
		token = *page.Next
	}
	return nil, pages, merry.New("agent: read instance list: too many pages")
}

// readListPage reads a page of the platform's list, which may have so many bytes at most. It returns how many it has. A
// response that is no list, or has an entry that names no backend, is an error: taken for a list, it would remove all
// backends.
func (a *Agent) readListPage(ctx context.Context, token string, maxBytes int64) (page *instancePage, bytes int64, err error) {
	target := "http://" + a.settings.CloudAddr + "/instances"
	if token != "" {
		target += "?page_token=" + url.QueryEscape(token)
	}
	page = new(instancePage)
	// The list has no share in the memory for data of backends: the agent needs it when they take all of that.
	if bytes, err = a.getJSON(ctx, jsonRequest{target: target, maxBytes: maxBytes}, page); err != nil {
		return nil, 0, err
	}
	if page.Instances == nil {
		return nil, 0, merry.Prepend(errNotJSON, "agent: read instance list: no instances")
	}
	for _, entry := range page.Instances {
		if entry.ID == "" || entry.Address == "" {
			return nil, 0, merry.Prepend(errNotJSON, "agent: read instance list: entry without ID or address")
		}
	}
	return page, bytes, nil
}

// backendInfoOf converts an entry of the platform's list.
func backendInfoOf(entry *instance) dispatch.BackendInfo {
	info := dispatch.BackendInfo{
		ID: entry.ID, Service: entry.Service, Addr: entry.Address, Zone: entry.Zone, Slots: entry.Slots,
		Draining: entry.State == stateDraining, ColdMS: entry.ColdMS,
	}
	for _, m := range entry.Models {
		if info.Versions == nil {
			info.Versions = map[string]int64{}
		}
		info.Versions[m.Name] = m.Version
	}
	return info
}

// withVersion returns versions with the version of a phase if that is newer than the one in the
// list.
func withVersion(versions map[string]int64, phase feed.Phase) map[string]int64 {
	if phase.Version <= versions[phase.Model] {
		return versions
	}
	overlaid := map[string]int64{phase.Model: phase.Version}
	for model, version := range versions {
		if model != phase.Model {
			overlaid[model] = version
		}
	}
	return overlaid
}
