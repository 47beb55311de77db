package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// The wall case.
const (
	wallFronts    = 2
	wallSearchers = 2
	configApply   = 2 * time.Second // bounds.config_apply_ms
	claimsKey     = "ctnfzs989anu6wsjnban"
	salesKey      = "fqasnmgkcuyj8pjbvk9m"
	callsOfEach   = 8
	// promptParts are a document that both tenants' prompts begin with. The last part is the request's own.
	promptParts = "5c1e07a2:800,91bd3f06:410"
)

// wallConfiguration is a configuration with two tenants, of which claims may be isolated.
func wallConfiguration(version int64, claimsIsolated bool) string {
	return strings.Replace(strings.TrimSuffix(configuration, "}"), `"version":1`, fmt.Sprintf(`"version":%d`, version), 1) + fmt.Sprintf(
		`,"tenants":[{"name":"claims","api_keys":[%q],"priority":1,"isolated":%t},{"name":"sales","api_keys":[%q],"priority":1,"isolated":false}]}`,
		claimsKey, claimsIsolated, salesKey)
}

// wallCase isolates a tenant by a new configuration, after its requests have made parts of prompts, and
// has another tenant ask for the same parts long after the acknowledgement.
func wallCase(program string, trouble bool, r *record) int {
	f, err := newFleet(program, 3, "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places", r)
	if err != nil {
		r.printf("cannot run: %v", err)
		return exitNotRun
	}
	defer f.close()
	var all []*searcher
	for i := range wallSearchers {
		s, stop, err := newSearcher(fmt.Sprint("i-", i+1), fmt.Sprintf("%s:%d", searcherIP(i), f.ports.engine), zones[i], r)
		if err != nil {
			r.printf("cannot run: %v", err)
			return exitNotRun
		}
		defer stop()
		all = append(all, s)
	}
	stopList, err := servePlatform(f.listAddr(), all)
	if err != nil {
		r.printf("cannot run: %v", err)
		return exitNotRun
	}
	defer stopList()
	if err := f.startAll(wallFronts); err != nil {
		r.printf("cannot run: %v", err)
		return exitNotRun
	}
	if !f.order("PUT", "/v1/configuration", map[string]string{"If-Match": "0"}, wallConfiguration(1, false)) ||
		!await(20*time.Second, func() bool { return f.allReady(wallFronts) }) {
		r.printf("cannot run: the fleet did not become ready")
		return exitNotRun
	}
	time.Sleep(3 * time.Second) // until the searchers are known
	if !f.askAll("claims", claimsKey, 0) {
		return exitNotRun
	}
	isolatedAt := time.Time{}
	if trouble {
		if !f.order("PUT", "/v1/configuration", map[string]string{"If-Match": "1"}, wallConfiguration(2, true)) {
			return exitNotRun
		}
		isolatedAt = time.Now()
		r.printf("acknowledged: claims is isolated")
	}
	time.Sleep(2 * configApply)
	if !f.askAll("sales", salesKey, callsOfEach) || !f.askAll("claims", claimsKey, 2*callsOfEach) {
		return exitNotRun
	}
	code := exitHeld
	for _, s := range all {
		for _, u := range s.used() {
			if isolatedAt.IsZero() || u.At.Before(isolatedAt.Add(configApply)) || u.Tenant == u.MadeByTenant {
				continue
			}
			r.printf("BROKEN: %s of tenant %s uses part %s, made by %s of tenant %s, %d ms after the acknowledgement that claims is isolated",
				u.Request, u.Tenant, u.Part, u.MadeByReq, u.MadeByTenant, u.At.Sub(isolatedAt).Milliseconds())
			code = exitBroken
		}
	}
	return code
}

// askAll sends some requests of a tenant, one after the other, to the fronts in turn. Each has a last
// part of its own.
func (f *fleet) askAll(tenant, key string, first int) bool {
	for n := range callsOfEach {
		id := fmt.Sprintf("%016x", 0xc000+first+n)
		if !await(10*time.Second, func() bool { return f.ask(n%wallFronts, id, key) }) {
			f.record.printf("cannot run: %s of tenant %s was not served", id, tenant)
			return false
		}
	}
	return true
}

// ask sends a request of a client and reports whether it was served whole.
func (f *fleet) ask(front int, id, key string) bool {
	request, err := http.NewRequest("POST", "http://"+f.frontAddr(front)+"/one/2f", strings.NewReader("what is asked"))
	if err != nil {
		return false
	}
	request.Host = "one.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Model": modelName, "X-Token-Usage": "1460,80", "X-Prompt-Prefix": promptParts + "," + id[8:] + ":250",
		"X-Request-Deadline-Ms": "10000", "Api-Key": key,
	} {
		request.Header.Set(name, value)
	}
	response, err := asker.Do(request)
	if err != nil {
		f.record.printf("%s at %s: %v", id, frontName(front), err)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	f.record.printf("%s at %s: %d, %d bytes, read with error %v", id, frontName(front), response.StatusCode, len(body), err)
	return response.StatusCode == http.StatusOK && err == nil
}

// asker is the client of the fronts.
var asker = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
