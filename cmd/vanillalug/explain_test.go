package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const routerLog = `  3.1 r1 {"@level":"info","@message":"target left","@module":"router","@timestamp":"2026-12-04T02:00:05.000000Z","reason":"leaving","revision":7,"router":"r1","target":"p1/1"}
{"@level":"info","@message":"target left","@module":"router","@timestamp":"2026-12-04T02:00:05.000000Z","reason":"leaving","router":"r1","target":"p9/1"}
{"@level":"warn","@message":"lost the store","@module":"router","@timestamp":"2026-12-04T01:00:00.000000Z","router":"r1","table":"registry"}
{"@level":"info","@message":"attempt","@module":"router","@timestamp":"2026-12-04T02:00:06.000000Z","error":"read: connection reset","outcome":"no answer","request":"id-1","router":"r1","target":"p1/1"}
{"@level":"info","@message":"request","@module":"router","@timestamp":"2026-12-04T02:00:06.500000Z","ms":700,"outcome":"target gave no answer","ran":true,"request":"id-1","router":"r1","status":502,"target":"p1/1","version":7}
{"@level":"info","@message":"request","@module":"router","@timestamp":"2026-12-04T02:00:06.400000Z","ms":7,"outcome":"answered","request":"id-2","router":"r1","status":200}
{"@level":"info","@message":"target wants no requests","@module":"router","@timestamp":"2026-12-04T02:00:07.000000Z","for":"2s","request":"id-8","router":"r1","service":"booking","target":"p3/1"}
{"@level":"info","@message":"target wants no requests","@module":"router","@timestamp":"2026-12-04T02:00:07.000000Z","for":"2s","request":"id-7","router":"r1","service":"models","target":"e3/1"}
{"@level":"info","@message":"request","@module":"router","@timestamp":"2026-12-04T02:00:07.400000Z","ms":1,"outcome":"targets want no requests","request":"id-4","router":"r1","service":"booking","status":503}
no JSON
`

func TestExplain(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "r1.log")
	require.NoError(t, os.WriteFile(file, []byte(routerLog), 0o600))
	other := filepath.Join(dir, "r2.log")
	require.NoError(t, os.WriteFile(other, []byte(`{"@message":"lost the store","@timestamp":"2026-12-04T02:00:05.5Z","router":"r2"}`), 0o600))
	tests := map[string]struct {
		args     []string
		code     int
		contains []string
		lacks    []string
	}{
		"found": {
			[]string{"explain", "id-1", file, other},
			0,
			[]string{"target left reason=leaving", "no answer", "status 502", "a target may have run it", "1 sends failed"},
			[]string{"id-2", "p9/1", "lost the store", "r2"},
		},
		"rejected without a target": {
			[]string{"explain", "id-4", file},
			0,
			[]string{"target wants no requests for=2s request=id-8", "target=p3/1", "no target has run it"},
			[]string{"e3/1", "id-7"},
		},
		"longer -before": {[]string{"explain", "-before", "2h", "id-1", file}, 0, []string{"lost the store"}, nil},
		"not found":      {[]string{"explain", "id-3", file}, exitFailure, []string{"no line of these logs"}, nil},
		"no log":         {[]string{"explain", "id-1"}, exitUsage, []string{"want an id"}, nil},
		"no file":        {[]string{"explain", "id-1", filepath.Join(dir, "none")}, exitUsage, []string{"none"}, nil},
		"JSON":           {[]string{"explain", "-json", "id-1", file}, 0, []string{`"conclusion"`}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			require.Equal(t, tt.code, run(tt.args, &out, &out))
			for _, want := range tt.contains {
				require.Contains(t, out.String(), want)
			}
			for _, not := range tt.lacks {
				require.NotContains(t, out.String(), not)
			}
		})
	}
}
