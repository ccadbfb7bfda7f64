package path

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"

	"vanillalug.example/cmd/demo/stage"
)

// SumMetrics returns the sum of a router's metrics whose name, with labels,
// starts with the prefix.
func SumMetrics(_ context.Context, s *stage.Stage, router, prefix string) (float64, error) {
	raw, err := s.Get(router+"/operators", "/metrics")
	if err != nil {
		return 0, err
	}
	sum := 0.0
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || !strings.HasPrefix(name, prefix) {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, fmt.Errorf("SumMetrics: %s: %w", name, err)
		}
		sum += n
	}
	return sum, lines.Err()
}
