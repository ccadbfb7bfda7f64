package allowance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

// TestRetriesStayWithinBudget checks that in any order of requests and retries a
// workspace never sends more retries than its initial balance plus its share of
// its requests.
func TestRetriesStayWithinBudget(t *testing.T) {
	lugtest.Check(t, "200", "200", func(t *rapid.T) {
		b := NewBudget()
		sent, retries := map[string]int{}, map[string]int{}
		workspace := rapid.SampledFrom([]string{"a", "b"})
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				w := workspace.Draw(t, "w")
				b.Deposit(w, 0.1)
				sent[w]++
			},
			"retry": func(t *rapid.T) {
				w := workspace.Draw(t, "w")
				if b.Withdraw(w) {
					retries[w]++
				}
			},
			"": func(t *rapid.T) {
				for w, n := range retries {
					require.LessOrEqual(t, float64(n), initialBalance+0.1*float64(sent[w])+1e-6)
				}
			},
		})
	})
}

func TestBalanceIsBounded(t *testing.T) {
	b := NewBudget()
	for range 10000 {
		b.Deposit("w", 0.1)
	}
	n := 0
	for b.Withdraw("w") {
		n++
	}
	require.Equal(t, maxBalance, n)
}

func TestBackoff(t *testing.T) {
	tests := map[string]struct {
		retry  int
		random float64
		want   time.Duration
	}{
		"first, least jitter": {0, 0, 10 * time.Millisecond},
		"third":               {2, 0, 40 * time.Millisecond},
		"bounded":             {60, 0, time.Second},
		"most jitter":         {60, 1, 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, Backoff(tt.retry, tt.random)) })
	}
}
