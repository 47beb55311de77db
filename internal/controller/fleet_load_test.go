package controller

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/distribute"
	"nettlefold/internal/rendezvous"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
)

// benchmarkFleet runs core machines and the sessions of many agents on loopback addresses.
type benchmarkFleet struct {
	controllers []*Controller
	replies     atomic.Int64
	memberSets  atomic.Int64
}

const (
	benchmarkControllers = 9
	benchmarkAgents      = 291
	benchmarkPort        = 21340
	// benchmarkCallTimeout is the time after which an agent tries another controller.
	benchmarkCallTimeout = 800 * time.Millisecond
)

// benchmarkIP returns the loopback address of a controller.
func benchmarkIP(i int) string { return fmt.Sprintf("127.0.7.%d", i+1) }

// startControllers starts all controllers.
func (f *benchmarkFleet) startControllers(ctx context.Context, b *testing.B) {
	seeds := []string{}
	for i := range 3 {
		seeds = append(seeds, benchmarkIP(i)+":21783")
	}
	for i := range benchmarkControllers {
		ip := benchmarkIP(i)
		settings := &local.Settings{
			NodeName: "core-" + ip, IP: ip, Zone: fmt.Sprint("z", i%6), Zones: map[string]string{"z0": "r"}, ControlAddr: ip + ":21783",
			FirstStart: true, FirstPort: benchmarkPort, LastPort: benchmarkPort + 10, MachineFaultTolerance: 2, DataDirectory: b.TempDir(), Seeds: seeds,
		}
		c, err := newWithNetwork(rpc.TCP{}, settings, zerolog.Nop())
		require.NoError(b, err)
		f.controllers = append(f.controllers, c)
		go c.Run(ctx)
	}
}

// runAgent maintains the session of one agent as its program does.
func (f *benchmarkFleet) runAgent(ctx context.Context, i int) {
	pool := rpc.NewPool()
	defer pool.Close()
	self := distribute.Agent{
		ID:   fmt.Sprintf("front-zone-%d/%016x%04x", i, time.Now().UnixNano(), i),
		Addr: fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250), Zone: fmt.Sprint("z", i%6),
	}
	request := distribute.WatchRequest{Agent: self}
	controllers := []string{}
	for _, c := range f.controllers[:3] {
		controllers = append(controllers, c.settings.InternalAddr(c.settings.IP))
	}
	for attempt := 0; ctx.Err() == nil; {
		addr := rendezvous.Top("session/"+self.Addr, controllers, len(controllers))[attempt%len(controllers)]
		reply := new(distribute.WatchReply)
		if err := pool.Call(ctx, benchmarkCallTimeout, addr, distribute.KindWatch, &request, reply); err != nil || !reply.HasQuorum {
			attempt++
			continue
		}
		attempt = 0
		f.replies.Add(1)
		if reply.Members != nil {
			f.memberSets.Add(1)
			request.MembersDigest = reply.Members.Digest
		}
		if len(reply.Controllers) > 0 {
			controllers, request.Epoch = reply.Controllers, reply.Epoch
		}
		if reply.Snapshot != nil {
			request.AppliedSeq, request.ReceivedSeq, request.ConfigSeq = reply.Snapshot.Seq, reply.Snapshot.Seq, reply.Snapshot.ConfigSeq
		}
	}
}

// BenchmarkLargeFleetStart starts all agents at once and reports the work of the event loops in the
// first 10 seconds, the newest epoch, and the replies and full member sets sent.
func BenchmarkLargeFleetStart(b *testing.B) {
	for range b.N {
		ctx, cancel := context.WithCancel(context.Background())
		f := new(benchmarkFleet)
		f.startControllers(ctx, b)
		for i := range benchmarkAgents {
			go f.runAgent(ctx, i)
		}
		time.Sleep(10 * time.Second)
		var busy time.Duration
		var epoch uint64
		for _, c := range f.controllers {
			require.NoError(b, c.runInLoop(ctx, func() {
				stats := c.totalStats
				stats.add(&c.recentStats)
				for i := range stats.commands {
					busy += stats.commands[i].busy
				}
				epoch = max(epoch, c.replica.View().Epoch)
			}))
		}
		b.ReportMetric(busy.Seconds(), "owner-s")
		b.ReportMetric(float64(epoch), "epoch")
		b.ReportMetric(float64(f.replies.Load()), "replies")
		b.ReportMetric(float64(f.memberSets.Load()), "member-sets")
		cancel()
	}
}
