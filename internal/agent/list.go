package agent

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"reflect"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
)

const (
	listDuty  = "list"
	listEvery = 600 * time.Millisecond
	listLimit = 900 * time.Millisecond
	listStale = 1500 * time.Millisecond // from which on an agent that is not the owner reads for itself
	listRetry = 700 * time.Millisecond  // mean pause between its own tries
	listPages = 400
	// wholeListEvery is how often the list is told though it did not change, for those that missed it.
	wholeListEvery = 3 * time.Second
	listBytes      = 4 << 20
	draining       = "draining"
	freshAfter     = 2 * listLimit // of its beginning a read is no news any more, as its reader may have stood still
)

// sorted encodes maps in one order.
var sorted, _ = cbor.CoreDetEncOptions().EncMode()

// instance is an entry of the platform's list.
type instance struct {
	ID      string  `json:"id"`
	Service string  `json:"service"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Slots   int     `json:"slots"`
	State   string  `json:"state"`
	ColdMS  float64 `json:"cold_remaining_ms"`
	Models  []struct {
		Name    string `json:"name"`
		Version int64  `json:"version"`
	} `json:"models"`
}

type instancePage struct {
	Instances []instance `json:"instances"`
	Next      *string    `json:"next_page_token"`
}

// dutyList reads the platform's list when that falls to this agent: as its owner, or as one whose feed is silent.
func (a *Agent) dutyList(ctx context.Context) {
	age := time.Since(a.listAt)
	due := a.owns(listDuty) && age >= listEvery
	if !due && age >= listStale {
		due = rand.Float64() < float64(tickEvery)/float64(listRetry) // spread over those that miss it
	}
	if !due || a.reading {
		return
	}
	a.reading = true
	go func() {
		started := time.Now()
		list, err := a.readList(ctx)
		a.enqueue(func() {
			a.reading = false
			if err != nil {
				a.log.Warn().Err(err).Str("step", "list").Msg("the platform's list was not read")
				return
			}
			if time.Since(started) > freshAfter {
				return
			}
			a.takeList(list)
			if a.owns(listDuty) {
				a.spreadList()
			}
		})
	}()
}

// spreadList tells the others that the list was read; the list itself goes along when it changed, and now and then.
func (a *Agent) spreadList() {
	read := &feed.ReadList{Sum: a.listSum}
	if read.Sum != a.spreadSum || time.Since(a.spreadAt) >= wholeListEvery {
		read.Backends, a.spreadSum, a.spreadAt = a.list, read.Sum, time.Now()
	}
	a.news.tell(&feed.News{List: read})
}

// hearList takes the list that its owner read. One that is said to be the same is fresh again; another is missing until it is told.
func (a *Agent) hearList(read *feed.ReadList) {
	switch {
	case read == nil:
	case read.Backends != nil:
		a.takeList(read.Backends)
	case a.list != nil && a.listSum == read.Sum:
		a.listAt = time.Now()
	}
}

// listSum digests a list.
func listSum(list []dispatch.Listed) uint64 {
	encoded, err := sorted.Marshal(list)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded) | 1
}

// readList reads all pages.
func (a *Agent) readList(ctx context.Context) ([]dispatch.Listed, error) {
	ctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	list, token := []dispatch.Listed{}, ""
	for range listPages {
		page, err := a.readPage(ctx, token)
		if err != nil {
			return nil, err
		}
		for _, i := range page.Instances {
			list = append(list, listedOf(&i))
		}
		if page.Next == nil || *page.Next == "" {
			return list, nil
		}
		token = *page.Next
	}
	return nil, merry.New("the list has too many pages")
}

func (a *Agent) readPage(ctx context.Context, token string) (*instancePage, error) {
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
	answer, err := a.web.Do(request)
	if err != nil {
		return merry.Prepend(err, "read "+target)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(answer.Body, listBytes))
		return merry.New("read " + target + ": " + answer.Status)
	}
	return merry.Prepend(json.NewDecoder(io.LimitReader(answer.Body, listBytes)).Decode(into), "read "+target)
}

func listedOf(i *instance) dispatch.Listed {
	l := dispatch.Listed{
		ID: i.ID, Service: i.Service, Addr: i.Address, Zone: i.Zone, Slots: i.Slots,
		Draining: i.State == draining, ColdMS: i.ColdMS,
	}
	for _, m := range i.Models {
		if l.Versions == nil {
			l.Versions = map[string]int64{}
		}
		l.Versions[m.Name] = m.Version
	}
	return l
}

// takeList takes the newest list, read here or told by its owner.
func (a *Agent) takeList(list []dispatch.Listed) {
	a.listAt = time.Now()
	if !reflect.DeepEqual(a.list, list) {
		a.list, a.listSum = list, listSum(list)
		a.listChanged()
	}
}

// listFor is the list with what the owners of orders know beyond it.
func (a *Agent) listFor() *feed.List {
	out := &feed.List{Number: a.listNumber, Backends: make([]dispatch.Listed, 0, len(a.list)), Phases: map[string]string{}}
	for _, l := range a.list {
		if p, ok := a.phases[l.ID]; ok {
			if p.Name != dispatch.PhaseNone {
				out.Phases[l.ID] = p.Name
			}
			l.Versions = withVersion(l.Versions, p.Phase)
		}
		out.Backends = append(out.Backends, l)
	}
	return out
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
