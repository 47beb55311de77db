package fleetcost

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"nettlefold/internal/chain"
	"nettlefold/internal/config"
	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/lab/capacity"
	"nettlefold/internal/replicated"
	"nettlefold/internal/rpc"
)

// Laws of the last long run, which the sums use.
var (
	heartbeatBytes = capacity.Law{Form: capacity.Flat, A: 119.5}
	snapshotBytes  = capacity.Law{Form: capacity.Affine, A: 282.5, B: 18.94}
	snapshotPlain  = capacity.Law{Form: capacity.Affine, A: 63, B: 274}
	configHeld     = capacity.Law{Form: capacity.Affine, A: 3763, B: 406.6}
	membersBytes   = capacity.Law{Form: capacity.Affine, A: 4.22, B: 17.66}
	listBytes      = capacity.Law{Form: capacity.Affine, A: 21.38, B: 10.03}
	loadsBytes     = capacity.Law{Form: capacity.Affine, A: 334, B: 14.15}
	batchBytes     = capacity.Law{Form: capacity.Affine, A: 62.88, B: 8.592}
	indexHeld      = capacity.Law{Form: capacity.Affine, A: 145.2, B: 19.17}
	tableHeld      = capacity.Law{Form: capacity.Affine, A: 913.7, B: 639.8}
	pickAllocs     = capacity.Law{Form: capacity.Flat, A: 15.85}
	pickTime       = capacity.Law{Form: capacity.Power, A: 1.236e-07, B: 1.065}
)

// Curves gives what is measured: sizes over a factor of 16 and more, the largest predicted before it is played.
func Curves() []capacity.Curve {
	bytes := func(name string, known capacity.Law) capacity.Quantity {
		return capacity.Quantity{Name: name, Unit: "B", Form: capacity.Affine, Deterministic: true, Known: known}
	}
	return []capacity.Curve{{
		Role: "controller", Of: "machines of the core", Plan: ControlSet, Sizes: []int{3, 5, 9, 16, 32, 64}, Quick: []int{3, 5, 9, 16, 48},
		Quantities: []capacity.Quantity{{Name: "a heartbeat", Unit: "B", Form: capacity.Flat, Deterministic: true, Known: heartbeatBytes}}, Play: playHeartbeat,
	}, {
		Role: "controller", Of: "routes", Plan: Routes(), Sizes: []int{100, 200, 400, 800, 1600, 3200}, Quick: []int{50, 100, 200, 400, 800},
		Quantities: []capacity.Quantity{
			bytes("a snapshot on a link", snapshotBytes),
			bytes("a configuration as it was sent", snapshotPlain),
			bytes("held of a configuration in force", configHeld),
		}, Play: playSnapshot,
	}, {
		Role: "agent", Of: "mixers", Plan: Mixers, Sizes: []int{100, 200, 400, 800, 1600, 3200}, Quick: []int{50, 100, 200, 400, 800},
		Quantities: []capacity.Quantity{bytes("the members on a link", membersBytes)}, Play: playMembers,
	}, {
		Role: "agent", Of: "backends", Plan: Backends, Sizes: []int{200, 400, 800, 1600, 3200, 6300}, Quick: []int{50, 100, 200, 400, 800},
		Quantities: []capacity.Quantity{
			bytes("the list on a link", listBytes),
			bytes("all loads on a link", loadsBytes),
		}, Play: playNews,
	}, {
		Role: "agent", Of: "events", Sizes: []int{40, 80, 160, 320, 640, 1280}, Quick: []int{40, 80, 160, 320, 640},
		Quantities: []capacity.Quantity{bytes("a batch of events on a link", batchBytes)}, Play: playBatch,
	}, {
		Role: "proxy", Of: "kept parts", Plan: KeptBlocks, Sizes: []int{20000, 40000, 80000, 160000, 320000, 640000},
		Quick:      []int{5000, 10000, 20000, 40000, 80000},
		Quantities: []capacity.Quantity{bytes("held by the index", indexHeld)}, Play: playIndex,
	}, {
		Role: "proxy", Of: "backends", Plan: Backends, Sizes: []int{200, 400, 800, 1600, 3200, 6300}, Quick: []int{50, 100, 200, 400, 800},
		Quantities: []capacity.Quantity{
			bytes("held by the table", tableHeld),
			{Name: "allocations of a choice", Unit: "1", Form: capacity.Flat, Deterministic: true, Known: pickAllocs},
			{Name: "a choice", Unit: "s", Form: capacity.Power, Known: pickTime},
		}, Play: playPick,
	}}
}

func one(n int, err error) ([]float64, error) { return []float64{float64(n)}, err }

func member(i int) chain.Member {
	id := fmt.Sprintf("10.%d.0.%d:8783/%016x", i%4, i, uint64(i)*0x9e3779b97f4a7c15)
	return chain.Member{ID: chain.NodeID(id), Addr: fmt.Sprintf("10.%d.0.%d:7340", i%4, i), Control: fmt.Sprintf("10.%d.0.%d:8783", i%4, i), Zone: "zone-a"}
}

// playHeartbeat sizes a heartbeat of one that hears all.
func playHeartbeat(size int) ([]float64, error) {
	beat := &chain.Heartbeat{Epoch: 1000, LogEpoch: 1000, LogLength: 1 << 20, Commit: 1 << 20, Applied: 1 << 20, AllMembersAlive: true}
	return one(rpc.FrameSize(distribute.KindCore, &chain.Message{From: member(size), Heartbeat: beat}))
}

// document makes a configuration of so many routes, with the tenants that go with them.
func document(routes int) []byte {
	random := rand.New(rand.NewPCG(uint64(routes), 1))
	text := `{"version":7,"routes":[`
	for i := range routes {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"name":"r-%07x","host":"h%04x.example","path_prefix":"/p%05x/","kind":"streaming","timeout_ms":6000,`+
			`"target_latency_ms":1500,"priority":1,"service":"s1","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":300}`,
			random.Uint32()&0xfffffff, random.Uint32()&0xffff, random.Uint32()&0xfffff)
	}
	text += `],"services":[{"name":"s1"}],"tenants":[`
	for i := range int(float64(routes) / routesEach) {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"name":"t%06d","api_keys":["%016x%04x"],"priority":1}`, i, random.Uint64(), i&0xffff)
	}
	return []byte(text + "]}")
}

func playSnapshot(size int) ([]float64, error) {
	text := document(size)
	state := replicated.New()
	state.Apply(1, &replicated.Operation{Kind: replicated.KindConfig, Body: text})
	sent, err := rpc.FrameSize(distribute.KindWatch, &distribute.WatchReply{Snapshot: distribute.NewSnapshot(state, 0)})
	if err != nil {
		return nil, err
	}
	var table *config.Table
	_, held := capacity.Held(func() *config.Table {
		doc, parseErr := config.Parse(text)
		if err = parseErr; err == nil {
			table = config.Compile(doc)
		}
		return table
	})
	runtime.KeepAlive(table)
	return []float64{float64(sent), float64(len(text)), held + float64(len(text))}, err
}

func playMembers(size int) ([]float64, error) {
	set := &distribute.MemberSet{Digest: 1 << 60}
	for i := range size {
		life := uint64(i)*0x9e3779b97f4a7c15 + 1
		set.Agents = append(set.Agents, distribute.Agent{
			ID: fmt.Sprintf("front-zone-%d-%d/%016x%04x", i%12, i, life, life&0xffff), Addr: fmt.Sprintf("10.%d.%d.%d:7340", i%12, i/250, i%250), Zone: fmt.Sprintf("zone-%d", i%12),
		})
	}
	return one(rpc.FrameSize(distribute.KindWatch, &distribute.WatchReply{HasQuorum: true, Members: set}))
}

func listed(i int) dispatch.BackendInfo {
	return dispatch.BackendInfo{
		ID: fmt.Sprintf("i-%010x", uint64(i)*0x9e3779b97f4a7c15>>24), Service: "s1", Addr: fmt.Sprintf("10.%d.%d.%d:8080", i%12, i/250, i%250),
		Zone: fmt.Sprintf("zone-%d", i%12), Slots: 64, Versions: map[string]int64{"model": 1},
	}
}

func playNews(size int) ([]float64, error) {
	all, list := &feed.Loads{Full: true, Changed: map[feed.BackendKey]dispatch.Load{}}, &feed.ListUpdate{Digest: 1 << 60, Full: true}
	for i := range size {
		list.Backends = append(list.Backends, listed(i))
		all.Changed[feed.BackendKeyOf(listed(i).ID)] = dispatch.Load{Running: 1 + i%3, QueuedPrefillMS: i * 37 % 900, Tokens: i * 1009 % 40000}
	}
	whole, err := rpc.FrameSize(feed.KindGossip, &feed.GossipMessage{From: "10.1.0.23:7340", Hop: feed.HopFromHub, List: list})
	if err != nil {
		return nil, err
	}
	loads, err := rpc.FrameSize(feed.KindGossip, &feed.GossipMessage{From: "10.1.0.23:7340", Hop: feed.HopFromHub, Loads: all})
	return []float64{float64(whole), float64(loads)}, err
}

func playBatch(size int) ([]float64, error) {
	batch := &kvindex.Batch{Backend: listed(1).ID, From: kvindex.Cursor{Epoch: 77120, Next: 118000}, To: kvindex.Cursor{Epoch: 77120, Next: 118900}, Digest: 1 << 62}
	for i := range size {
		batch.Changes = append(batch.Changes, kvindex.Change{Key: kvindex.KeyOf("v1", "model", fmt.Sprint(i)), Tokens: 100 + i%3000})
	}
	return one(rpc.FrameSize(feed.KindGossip, &feed.GossipMessage{From: "10.1.0.23:7340", Batches: []*kvindex.Batch{batch}}))
}

// playIndex holds so many parts over as many backends as keep a hundred each.
func playIndex(size int) ([]float64, error) {
	const each = 1000
	index, held := capacity.Held(func() *kvindex.Index {
		index := kvindex.New()
		for b := range size / each {
			batch := &kvindex.Batch{Backend: listed(b).ID, Snapshot: true}
			for i := range each {
				batch.Changes = append(batch.Changes, kvindex.Change{Key: kvindex.Key(rand.Uint32()), Tokens: 1 + i})
			}
			index.Apply(batch)
		}
		return index
	})
	if index.PartCount() < size/each*each*9/10 {
		return nil, fmt.Errorf("%d parts are held of %d", index.PartCount(), size)
	}
	return []float64{held}, nil
}

// playPick has a table choose among so many backends of one service, some of which keep the prompt.
func playPick(size int) ([]float64, error) {
	doc, err := config.Parse([]byte(`{"version":1,"routes":[],"services":[{"name":"s1","connection_limit":370,"cold_per_s":6,
		"engine":{"slots":64,"kv_capacity_tokens":180000,"kv_token_bytes":35136,"link_mbps":740000}}]}`))
	if err != nil {
		return nil, err
	}
	parts := []kvindex.Part{{ID: "a", Tokens: 800}, {ID: "b", Tokens: 9000}, {ID: "c", Tokens: 2500}}
	table, held := capacity.Held(func() *dispatch.Table {
		t := dispatch.New(0, dispatch.Settings{Zone: "zone-0", RetryBudgetWindow: 10 * time.Second}, rand.New(rand.NewPCG(1, 1)))
		t.SetConfig(config.Compile(doc))
		var list []dispatch.BackendInfo
		for i := range size {
			list = append(list, listed(i))
		}
		t.SetBackends(0, list, nil)
		return t
	})
	keys := kvindex.Keys("v1", "model", parts)
	for i := range size / 20 {
		table.Index().Apply(&kvindex.Batch{Backend: listed(i).ID, Snapshot: true, Changes: []kvindex.Change{{Key: keys[0], Tokens: 800}, {Key: keys[1], Tokens: 9000}}})
	}
	const picks = 50
	request := &dispatch.Request{Service: "s1", Model: "model", Parts: parts, PromptTokens: 12300, BodyBytes: 9000}
	allocations, _, took := capacity.Allocated(func() {
		for i := range picks {
			now := time.Duration(i) * time.Millisecond
			if c := table.Pick(now, request); c != nil {
				table.RecordFirstByte(now, c, "s1")
				table.End(now, c, dispatch.Completed)
			}
		}
	})
	return []float64{held, allocations / picks, took.Seconds() / picks}, nil
}
