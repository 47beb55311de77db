package memlimit

import (
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestAccountsNeverHoldMoreThanTheBudget resizes accounts in any order: their sum is what the budget says is used, and
// never above its limit.
func TestAccountsNeverHoldMoreThanTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 10 * UncountedBytes
		budget := New(limit)
		accounts := [3]Account{budget.NewAccount(), budget.NewAccount(), budget.NewAccount()}
		var sizes [3]int64
		var failures uint64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i, size := rapid.IntRange(0, 2).Draw(t, "account"), rapid.Int64Range(0, 12*UncountedBytes).Draw(t, "size")
			resized := accounts[i].Resize(size)
			if size <= UncountedBytes {
				size = 0
			}
			left := limit - (sizes[0] + sizes[1] + sizes[2])
			fits := size <= sizes[i] || size-sizes[i] <= left/largestTakeDivisor
			require.Equal(t, fits, resized)
			if fits {
				sizes[i] = size
			} else {
				failures++
			}
			require.Equal(t, sizes[0]+sizes[1]+sizes[2], budget.Used())
			require.Equal(t, failures, budget.Exhausted())
		}
		for i := range accounts {
			accounts[i].Close()
		}
		require.Zero(t, budget.Used())
	})
}

// TestBudgetIsSafeForConcurrentUse takes and returns from many goroutines: no sum is above the limit, and nothing is left
// over.
func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	const limit, users = 10, 50
	budget := New(limit)
	var mu sync.Mutex
	held := 0
	var all sync.WaitGroup
	for range users {
		all.Go(func() {
			for range 1000 {
				if !budget.Take(1) {
					continue
				}
				mu.Lock()
				held++
				require.LessOrEqual(t, held, limit)
				held--
				mu.Unlock()
				budget.Return(1)
			}
		})
	}
	all.Wait()
	require.Zero(t, budget.Used())
}

// TestNilBudgetHasNoBound uses a nil budget and the zero account.
func TestNilBudgetHasNoBound(t *testing.T) {
	var budget *Budget
	var account Account
	require.True(t, budget.Take(1<<40))
	budget.Return(1 << 40)
	require.True(t, account.Resize(1<<40))
	account.Close()
	require.Zero(t, budget.Used()+budget.Limit()+int64(budget.Exhausted()))
}

// TestReadAllTakesMemoryAsItReads reads texts at the edges of both bounds.
func TestReadAllTakesMemoryAsItReads(t *testing.T) {
	const maxBytes = 100 << 10
	for _, c := range []struct {
		length int
		limit  int64
		want   error
	}{
		{0, 0, nil}, {100, 0, nil}, {4000, 0, nil}, {maxBytes, 1 << 20, nil}, {maxBytes + 1, 1 << 20, ErrTooLong},
		{maxBytes, 1<<17 - 1, ErrExhausted}, {40 << 10, 1 << 18, nil}, {maxBytes, 1 << 17, ErrExhausted},
	} {
		budget := New(c.limit)
		account := budget.NewAccount()
		text, err := account.ReadAll(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", c.length))), ReadOptions{MaxBytes: maxBytes, InitialBytes: 16, Weight: 2})
		require.ErrorIs(t, err, c.want)
		if c.want == nil {
			require.Len(t, text, c.length)
			if taken := int64(2 * cap(text)); taken > UncountedBytes {
				require.Equal(t, taken, budget.Used())
			}
		}
		account.Close()
		require.Zero(t, budget.Used())
	}
}

// TestSmallThingsFindMemoryBesideLargeOnes: large things that are refused leave room for small ones, whatever their sizes.
func TestSmallThingsFindMemoryBesideLargeOnes(t *testing.T) {
	const small = 64 << 10
	rapid.Check(t, func(t *rapid.T) {
		budget := New(rapid.Int64Range(1<<20, 64<<20).Draw(t, "limit"))
		for range rapid.IntRange(0, 100).Draw(t, "large things") {
			account := budget.NewAccount()
			for size, want := int64(small), rapid.Int64Range(1<<20, 32<<20).Draw(t, "size"); size < want; size *= 2 {
				if !account.Resize(size) {
					account.Close()
					break
				}
			}
		}
		if left := budget.Limit() - budget.Used(); left >= largestTakeDivisor*small {
			require.True(t, budget.Take(small))
		}
	})
}
