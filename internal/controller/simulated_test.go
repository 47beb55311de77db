package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/simtest"
)

// inWorld plays a core of three in a bubble.
func runCluster(t *testing.T, seed uint64, play func(w *testCluster, random *rand.Rand)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 3)
		defer w.close()
		time.Sleep(2 * time.Second)
		play(w, rand.New(rand.NewPCG(seed, seed)))
		w.requireLinearizable()
	})
}

// TestCutOffForTwentySeconds: the machine that was cut off from the others answers the operator with nothing but 503 or silence, while the
// others take writes; once it is back it has them.
func TestIsolatedMachineRefusesRequests(t *testing.T) {
	for i := 1; i <= 3; i++ {
		runCluster(t, uint64(i), func(w *testCluster, random *rand.Rand) {
			cut := ipOf(i)
			require.True(t, w.commitWithin(3*time.Second, random))
			w.setIsolatedFromCore(true, cut)
			end := time.Now().Add(20 * time.Second)
			refused, served := 0, 0
			for n := 0; time.Now().Before(end); n++ {
				other := ipOf(i%3 + 1)
				if version, ok := w.getConfig(other); ok && w.putConfig(other, version, version+1, fmt.Sprint(n)) == simtest.Taken {
					served++
				}
				status, _ := w.request(cut, http.MethodGet, "/v1/configuration", "", "")
				require.Contains(t, []int{0, http.StatusServiceUnavailable}, status)
				for path, method := range map[string]string{"/v1/evacuations/x": http.MethodPost, "/v1/version-put": http.MethodPost} {
					status, _ = w.request(cut, method, path, "", `{"model":"m","version":1}`)
					require.Contains(t, []int{0, http.StatusServiceUnavailable}, status)
				}
				require.Equal(t, simtest.Unclear, w.putConfig(cut, 999, 1000, "refused for good only if sure"))
				refused++
			}
			require.Greater(t, served, 3)
			require.Greater(t, refused, 3)
			w.setIsolatedFromCore(false, cut)
			time.Sleep(3 * time.Second)
			newest, ok := w.getConfig(ipOf(i%3 + 1))
			require.True(t, ok)
			again, ok := w.getConfig(cut)
			require.True(t, ok)
			require.Equal(t, newest, again)
		})
	}
}

// More worlds than CI has time for: go test ./internal/controller -run TwoOperators -timeout 0 -worlds 500 -first 100.
var (
	runsFlag      = flag.Uint64("worlds", 8, "worlds of two operators to play")
	firstSeedFlag = flag.Uint64("first", 1, "the first one's seed")
)

// TestTwoOperators: eight calls at a time with equal numbers, some sent again at other machines, while machines are cut off, end in order, are
// killed, have their disks fail, and come back: one of two rivals is confirmed, what was acknowledged is never refused, and all reads fit.
func TestConcurrentOperatorsUnderFaults(t *testing.T) {
	for seed := *firstSeedFlag; seed < *firstSeedFlag+*runsFlag; seed++ {
		runCluster(t, seed, func(w *testCluster, random *rand.Rand) {
			stop := make(chan struct{})
			var all sync.WaitGroup
			for operator := range 4 {
				own := rand.New(rand.NewPCG(seed, uint64(operator)))
				all.Go(func() { runOperator(w, own, operator, stop) })
			}
			for range 6 {
				injectFault(w, random)
			}
			close(stop)
			all.Wait()
			require.True(t, w.commitWithin(6*time.Second, random))
		})
	}
}

// operate is an operator who writes on top of what it reads, and sends again what got no clear answer.
func runOperator(w *testCluster, random *rand.Rand, operator int, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(300)) * time.Millisecond):
		}
		version, ok := w.getConfig(ipOf(1 + random.IntN(3)))
		if !ok {
			continue
		}
		mark := fmt.Sprint(operator, "/", n)
		for range 3 {
			if w.putConfig(ipOf(1+random.IntN(3)), version, version+1, mark) != simtest.Unclear {
				break
			}
		}
	}
}

// upset lets one thing happen to the machines, and ends with all of them there.
func injectFault(w *testCluster, random *rand.Rand) {
	ip := ipOf(1 + random.IntN(3))
	rest := time.Duration(500+random.IntN(2500)) * time.Millisecond
	switch random.IntN(6) {
	case 4, 5:
		for range 1 + random.IntN(3) {
			w.failDisk(ip)
			time.Sleep(rest / 3)
		}
	case 0:
		w.setIsolatedFromCore(true, ip)
		time.Sleep(rest)
		w.setIsolatedFromCore(false, ip)
	case 1:
		w.stopMachine(ip, true)
		time.Sleep(rest)
		w.startMachine(ip)
	case 2:
		w.stopMachine(ip, false)
		time.Sleep(rest)
		w.startMachine(ip)
	case 3:
		other := ipOf(1 + random.IntN(3))
		w.setLinkCut(true, ip, other)
		time.Sleep(rest)
		w.setLinkCut(false, ip, other)
	}
	time.Sleep(1500 * time.Millisecond)
}

// TestToldToEndAnswersItsCalls: a controller that is told to end hands over, answers the calls that it has, and its last order is there.
func TestGracefulShutdownAnswersRequests(t *testing.T) {
	for i := 1; i <= 3; i++ {
		runCluster(t, uint64(i), func(w *testCluster, random *rand.Rand) {
			require.True(t, w.commitWithin(3*time.Second, random))
			version, ok := w.getConfig(ipOf(i))
			require.True(t, ok)
			answered := make(chan simtest.Outcome)
			go func() { answered <- w.putConfig(ipOf(i), version, version+1, "the last") }()
			time.Sleep(4 * simtest.Latency)
			began := time.Now()
			w.stopMachine(ipOf(i), true)
			require.Less(t, time.Since(began), 2*time.Second)
			require.NotEqual(t, simtest.Refused, <-answered)
			require.True(t, w.commitWithin(time.Second, random), "the others go on at once")
		})
	}
}

// TestDamagedDiskInTheCore: a machine finds its state damaged, comes back as a newcomer, and the core bears the loss of another.
func TestDamagedStoreInCluster(t *testing.T) {
	runCluster(t, 1, func(w *testCluster, random *rand.Rand) {
		for range 5 {
			require.True(t, w.commitWithin(3*time.Second, random))
		}
		w.stopMachine(ipOf(2), false)
		w.corruptStore(ipOf(2))
		w.startMachine(ipOf(2))
		time.Sleep(4 * time.Second)
		w.stopMachine(ipOf(1), false)
		require.True(t, w.commitWithin(5*time.Second, random))
		w.startMachine(ipOf(1))
		time.Sleep(time.Second)
	})
}

// TestAnOrderHeldUpOnItsWay: an evacuation sits behind a cut while the operator gives it up, has it taken elsewhere, and takes it back; when
// the link heals the old order comes to nothing.
func TestDelayedEvacuationIsSuperseded(t *testing.T) {
	for _, held := range []time.Duration{300, 600, 850} {
		runCluster(t, 1, func(w *testCluster, random *rand.Rand) {
			require.True(t, w.commitWithin(3*time.Second, random))
			head, _, _ := strings.Cut(w.machines[ipOf(1)].controller.published.Load().view.Acceptors[0].Addr, ":")
			for _, ip := range []string{ipOf(1), ipOf(2), ipOf(3)} {
				view := w.machines[ip].controller.published.Load().view
				if m, _ := view.Member(view.Head()); strings.HasPrefix(m.Addr, ip+":") {
					head = ip
				}
			}
			contact := ipOf(1)
			if contact == head {
				contact = ipOf(2)
			}
			other := ipOf(1 + 2 + 3 - int(head[len(head)-1]-'0') - int(contact[len(contact)-1]-'0'))
			done := make(chan struct{})
			go func() {
				w.request(contact, http.MethodPost, "/v1/evacuations/x", "", "")
				close(done)
			}()
			time.Sleep(5 * simtest.Latency) // it has read what the order is based on, or is about to
			w.setLinkCut(true, contact, head)
			require.Equal(t, 200, statusCode(w.request(other, http.MethodPost, "/v1/evacuations/x", "", "")))
			require.Equal(t, 200, statusCode(w.request(other, http.MethodDelete, "/v1/evacuations/x", "", "")))
			time.Sleep(held * time.Millisecond)
			w.setLinkCut(false, contact, head)
			time.Sleep(3 * time.Second)
			<-done
			require.Empty(t, w.machines[head].controller.published.Load().state.Evacuated)
		})
	}
}

func statusCode(code int, _ string) int { return code }

func TestMain(m *testing.M) { simtest.Main(m) }
