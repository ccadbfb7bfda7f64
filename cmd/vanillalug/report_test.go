package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const requestLog = `  1.0 r1 {"@message":"request","@timestamp":"2026-12-04T02:00:06.1Z","router":"r1","workspace":"a","kind":"idempotent","service":"s","status":200,"outcome":"answered","ms":10}
{"@message":"request","@timestamp":"2026-12-04T02:00:06.2Z","router":"r1","workspace":"a","kind":"idempotent","service":"s","status":200,"outcome":"answered","ms":30}
{"@message":"request","@timestamp":"2026-12-04T02:00:07.2Z","router":"r1","workspace":"a","kind":"idempotent","service":"s","status":503,"outcome":"service is full","ms":1}
{"@message":"request","@timestamp":"2026-12-04T02:00:07.3Z","router":"r2","workspace":"a","kind":"idempotent","service":"s","status":500,"outcome":"answered","ms":20}
{"@message":"request","@timestamp":"2026-12-04T02:00:08.3Z","router":"r2","workspace":"b","kind":"streaming","service":"m","status":200,"outcome":"broken off: stream broke off","ms":90}
{"@message":"request","@timestamp":"2026-12-04T02:00:08.4Z","router":"r2","workspace":"b","kind":"streaming","service":"m","status":200,"outcome":"broken off: caller is gone","ms":90}
{"@message":"request","@timestamp":"2026-12-04T02:00:08.5Z","router":"r2","workspace":"","kind":"","status":404,"outcome":"no route","ms":0}
{"@message":"request","@timestamp":"2026-12-04T02:00:08.6Z","router":"r2","workspace":"b","kind":"streaming","service":"m","status":504,"outcome":"timeout","ms":1500}
{"@level":"warn","@message":"log lines left out","lines":12}
{"@message":"target left","@timestamp":"2026-12-04T02:00:08.5Z","router":"r2"}
`

func TestReport(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "r.log")
	require.NoError(t, os.WriteFile(file, []byte(requestLog), 0o600))
	empty := filepath.Join(dir, "empty.log")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	tests := map[string]struct {
		args     []string
		code     int
		contains []string
	}{
		"by workspace and kind": {
			[]string{"report", file},
			0,
			[]string{"a  idempotent         4       2         1       1         0         10       10          30", "12 log lines were left out"},
		},
		"by router":               {[]string{"report", "-by", "router", file}, 0, []string{"r2         5       0         1       3         1"}},
		"by an unknown field":     {[]string{"report", "-by", "colour", file}, exitUsage, []string{"-by colour"}},
		"no log":                  {[]string{"report"}, exitUsage, []string{"want at least one log"}},
		"no file":                 {[]string{"report", filepath.Join(dir, "none")}, exitUsage, []string{"none"}},
		"no request":              {[]string{"report", empty}, exitFailure, []string{"no line of these logs"}},
		"plot of no known format": {[]string{"report", "-plot", filepath.Join(dir, "p.txt"), file}, exitUsage, []string{"plotRequests"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			require.Equal(t, tt.code, run(tt.args, &out, &out), out.String())
			for _, want := range tt.contains {
				require.Contains(t, out.String(), want)
			}
		})
	}
}

func TestReportJSON(t *testing.T) {
	dir := t.TempDir()
	file, image := filepath.Join(dir, "r.log"), filepath.Join(dir, "p.svg")
	require.NoError(t, os.WriteFile(file, []byte(requestLog), 0o600))
	var out bytes.Buffer
	require.Zero(t, run([]string{"report", "-json", "-plot", image, file}, &out, &out))
	var r requestReport
	require.NoError(t, json.Unmarshal(out.Bytes(), &r))
	require.Equal(t, 12, r.LinesLeftOut)
	total := 0
	for _, g := range r.Groups {
		require.Equal(t, g.Requests, g.Served+g.Rejected+g.Failed+g.Canceled)
		total += g.Requests
	}
	require.Equal(t, 8, total)
	raw, err := os.ReadFile(image)
	require.NoError(t, err)
	require.Contains(t, string(raw), "<svg")
}
