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

// runCluster runs a core of three machines in a synctest bubble, and checks afterwards that the
// operator's calls are linearizable.
func runCluster(t *testing.T, seed uint64, scenario func(w *testCluster, random *rand.Rand)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, 3)
		defer w.close()
		time.Sleep(2 * time.Second)
		scenario(w, rand.New(rand.NewPCG(seed, seed)))
		w.requireLinearizable()
	})
}

// TestIsolatedMachineRefusesRequests: for 20 seconds a machine isolated from the others answers the
// operator only with status 503 or not at all, while the others commit writes. Afterwards it
// returns the newest configuration.
func TestIsolatedMachineRefusesRequests(t *testing.T) {
	for i := 1; i <= 3; i++ {
		runCluster(t, uint64(i), func(w *testCluster, random *rand.Rand) {
			isolated := ipOf(i)
			require.True(t, w.commitWithin(3*time.Second, random))
			w.setIsolatedFromCore(true, isolated)
			end := time.Now().Add(20 * time.Second)
			attempts, committed := 0, 0
			for n := 0; time.Now().Before(end); n++ {
				other := ipOf(i%3 + 1)
				if version, ok := w.getConfig(other); ok && w.putConfig(other, version, version+1, fmt.Sprint(n)) == simtest.Taken {
					committed++
				}
				status, _ := w.request(isolated, http.MethodGet, "/v1/configuration", "", "")
				require.Contains(t, []int{0, http.StatusServiceUnavailable}, status)
				for path, method := range map[string]string{"/v1/evacuations/x": http.MethodPost, "/v1/version-put": http.MethodPost} {
					status, _ = w.request(isolated, method, path, "", `{"model":"m","version":1}`)
					require.Contains(t, []int{0, http.StatusServiceUnavailable}, status)
				}
				require.Equal(t, simtest.Unclear, w.putConfig(isolated, 999, 1000, "outcome must be unknown"))
				attempts++
			}
			require.Greater(t, committed, 3, "writes committed by the others")
			require.Greater(t, attempts, 3, "writes tried at the isolated machine")
			w.setIsolatedFromCore(false, isolated)
			time.Sleep(3 * time.Second)
			newest, ok := w.getConfig(ipOf(i%3 + 1))
			require.True(t, ok)
			again, ok := w.getConfig(isolated)
			require.True(t, ok)
			require.Equal(t, newest, again)
		})
	}
}

// To run more seeds than CI does:
// go test ./internal/controller -run ConcurrentOperators -timeout 0 -worlds 500 -first 100
var (
	runsFlag      = flag.Uint64("worlds", 8, "number of seeds of TestConcurrentOperatorsUnderFaults")
	firstSeedFlag = flag.Uint64("first", 1, "first seed")
)

// TestConcurrentOperatorsUnderFaults: four operators write on the same base versions, and repeat
// some writes at other machines, while machines are isolated, shut down, killed, or have their
// disks fail. At most one of two conflicting writes is confirmed, an acknowledged write is never
// refused later, and all reads are linearizable.
func TestConcurrentOperatorsUnderFaults(t *testing.T) {
	for seed := *firstSeedFlag; seed < *firstSeedFlag+*runsFlag; seed++ {
		runCluster(t, seed, func(w *testCluster, random *rand.Rand) {
			stop := make(chan struct{})
			var operators sync.WaitGroup
			for operator := range 4 {
				operatorRandom := rand.New(rand.NewPCG(seed, uint64(operator)))
				operators.Go(func() { runOperator(w, operatorRandom, operator, stop) })
			}
			for range 6 {
				injectFault(w, random)
			}
			close(stop)
			operators.Wait()
			require.True(t, w.commitWithin(6*time.Second, random))
		})
	}
}

// runOperator writes on top of the version that it reads, and repeats a write without a clear
// outcome up to twice.
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

// injectFault injects one random fault and ends with all machines running and connected.
func injectFault(w *testCluster, random *rand.Rand) {
	ip := ipOf(1 + random.IntN(3))
	duration := time.Duration(500+random.IntN(2500)) * time.Millisecond
	switch random.IntN(6) {
	case 4, 5:
		for range 1 + random.IntN(3) {
			w.failDisk(ip)
			time.Sleep(duration / 3)
		}
	case 0:
		w.setIsolatedFromCore(true, ip)
		time.Sleep(duration)
		w.setIsolatedFromCore(false, ip)
	case 1:
		w.stopMachine(ip, true)
		time.Sleep(duration)
		w.startMachine(ip)
	case 2:
		w.stopMachine(ip, false)
		time.Sleep(duration)
		w.startMachine(ip)
	case 3:
		other := ipOf(1 + random.IntN(3))
		w.setLinkCut(true, ip, other)
		time.Sleep(duration)
		w.setLinkCut(false, ip, other)
	}
	time.Sleep(1500 * time.Millisecond)
}

// TestGracefulShutdownAnswersRequests: a controller that shuts down hands off its role and answers
// the requests in progress, and the others can commit soon after.
func TestGracefulShutdownAnswersRequests(t *testing.T) {
	for i := 1; i <= 3; i++ {
		runCluster(t, uint64(i), func(w *testCluster, random *rand.Rand) {
			require.True(t, w.commitWithin(3*time.Second, random))
			version, ok := w.getConfig(ipOf(i))
			require.True(t, ok)
			answered := make(chan simtest.Outcome)
			go func() { answered <- w.putConfig(ipOf(i), version, version+1, "during shutdown") }()
			time.Sleep(4 * simtest.Latency)
			began := time.Now()
			w.stopMachine(ipOf(i), true)
			require.Less(t, time.Since(began), 2*time.Second)
			require.NotEqual(t, simtest.Refused, <-answered)
			require.True(t, w.commitWithin(time.Second, random), "the other machines must commit within 1 s")
		})
	}
}

// TestDamagedStoreInCluster: a machine with a damaged store rejoins with a new identity, after
// which the core tolerates the loss of another machine.
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

// TestDelayedEvacuationIsSuperseded: an evacuation is delayed by a cut link while the operator
// gives up, has it committed through another machine, and reverts it. When the link heals, the
// delayed evacuation must not take effect.
func TestDelayedEvacuationIsSuperseded(t *testing.T) {
	for _, delay := range []time.Duration{300, 600, 850} {
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
			time.Sleep(5 * simtest.Latency) // the contact has read the base of the operation, or is about to
			w.setLinkCut(true, contact, head)
			require.Equal(t, 200, statusCode(w.request(other, http.MethodPost, "/v1/evacuations/x", "", "")))
			require.Equal(t, 200, statusCode(w.request(other, http.MethodDelete, "/v1/evacuations/x", "", "")))
			time.Sleep(delay * time.Millisecond)
			w.setLinkCut(false, contact, head)
			time.Sleep(3 * time.Second)
			<-done
			require.Empty(t, w.machines[head].controller.published.Load().state.Evacuated)
		})
	}
}

// statusCode returns the first result of testCluster.request.
func statusCode(code int, _ string) int { return code }

func TestMain(m *testing.M) { simtest.Main(m) }
