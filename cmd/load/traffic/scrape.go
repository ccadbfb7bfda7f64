package traffic

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"
)

var controlLine = regexp.MustCompile(`^vanillalug_control_bytes_total\{kind="([^"]+)"\} (\d+)`)

// ReadControlBytes returns a router's counters of control traffic in bytes, by
// kind.
func ReadControlBytes(ctx context.Context, operators string) (map[string]float64, error) {
	body, err := get(ctx, "http://"+operators+"/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	out := map[string]float64{}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if m := controlLine.FindStringSubmatch(lines.Text()); m != nil {
			out[m[1]], _ = strconv.ParseFloat(m[2], 64)
		}
	}
	return out, lines.Err()
}

// ControlRates returns the rates of control traffic between two readings that are
// d apart.
func ControlRates(router string, before, after map[string]float64, d time.Duration) ControlReport {
	r := ControlReport{Router: router, ByKind: map[string]float64{}}
	for kind, n := range after {
		perSecond := (n - before[kind]) / d.Seconds()
		r.ByKind[kind] = float64(int(perSecond))
		r.BytesPerSecond += perSecond
	}
	return r
}

// ReadEngine returns the counters of a fake engine.
func ReadEngine(ctx context.Context, address string) (EngineReport, error) {
	var e EngineReport
	body, err := get(ctx, "http://"+address+"/counts")
	if err != nil {
		return e, err
	}
	defer func() { _ = body.Close() }()
	return e, json.NewDecoder(body).Decode(&e)
}

func get(ctx context.Context, url string) (io.ReadCloser, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	if w.StatusCode != http.StatusOK {
		_ = w.Body.Close()
		return nil, fmt.Errorf("%s: status %d", url, w.StatusCode)
	}
	return w.Body, nil
}
