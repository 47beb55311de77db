package agent

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
)

const (
	listReaderKey    = "list"
	listReadTimeout  = 900 * time.Millisecond
	maxListPages     = 400
	maxResponseBytes = 4 << 20
	stateDraining    = "draining"
	// freshAfter is how long after its beginning a reading is no news any more, as its reader may have stood still.
	maxListReadAge = 2 * listReadTimeout
)

// instance is an entry of the platform's list.
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

// modelVersion is a model's weights as an instance has them.
type modelVersion struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

type instancePage struct {
	Instances []instance `json:"instances"`
	Next      *string    `json:"next_page_token"`
}

// dutyList reads the platform's list when that falls to this agent, and asks another agent for it when it heard nothing for a while.
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
				a.log.Warn().Err(err).Str("step", "list").Msg("the platform's list was not read")
				return
			}
			if time.Since(now) <= maxListReadAge {
				a.publishList(now, list)
			}
		})
	}()
}

// readList reads all pages, and tells how many it asked for.
func (a *Agent) readList(ctx context.Context) (list []dispatch.BackendInfo, pages int, err error) {
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	list, token := []dispatch.BackendInfo{}, ""
	for pages < maxListPages {
		pages++
		page, err := a.readListPage(ctx, token)
		if err != nil {
			return nil, pages, err
		}
		for _, i := range page.Instances {
			list = append(list, backendInfoOf(&i))
		}
		if page.Next == nil || *page.Next == "" {
			return list, pages, nil
		}
		token = *page.Next
	}
	return nil, pages, merry.New("the list has too many pages")
}

func (a *Agent) readListPage(ctx context.Context, token string) (*instancePage, error) {
	target := "http://" + a.settings.CloudAddr + "/instances"
	if token != "" {
		target += "?page_token=" + url.QueryEscape(token)
	}
	page := new(instancePage)
	return page, a.getJSON(ctx, target, nil, page)
}

// getJSON reads a JSON answer to a GET.
func (a *Agent) getJSON(ctx context.Context, target string, header http.Header, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	answer, err := a.httpClient.Do(request)
	if err != nil {
		return merry.Prepend(err, "read "+target)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(answer.Body, maxResponseBytes))
		return merry.New("read " + target + ": " + answer.Status)
	}
	return merry.Prepend(json.NewDecoder(io.LimitReader(answer.Body, maxResponseBytes)).Decode(into), "read "+target)
}

func backendInfoOf(i *instance) dispatch.BackendInfo {
	l := dispatch.BackendInfo{
		ID: i.ID, Service: i.Service, Addr: i.Address, Zone: i.Zone, Slots: i.Slots,
		Draining: i.State == stateDraining, ColdMS: i.ColdMS,
	}
	for _, m := range i.Models {
		if l.Versions == nil {
			l.Versions = map[string]int64{}
		}
		l.Versions[m.Name] = m.Version
	}
	return l
}

// withVersion overlays a version that is newer than the list's.
func withVersion(versions map[string]int64, p feed.Phase) map[string]int64 {
	if p.Version <= versions[p.Model] {
		return versions
	}
	overlaid := map[string]int64{p.Model: p.Version}
	for model, version := range versions {
		if model != p.Model {
			overlaid[model] = version
		}
	}
	return overlaid
}
