package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/where"
)

// whereAnswer returns an answer with a target in every state.
func whereAnswer(d where.Decision) where.Answer {
	age := int64(1200)
	return where.Answer{
		Router: "r7", Place: "east", At: time.Date(2026, 12, 5, 1, 2, 3, 0, time.UTC),
		Match: where.Match{
			TableVersion: 12, Method: "POST", Host: "a.example", Path: "/x/y", Route: "chat", Kind: "streaming", Workspace: "acme",
			Priority: 1, Service: "models", TimeoutMS: 2000, ObjectiveMS: 500, PromptTokens: 2200, SharedTokens: 1000, Prompt: "1f",
			ExpectedOutput: 90, Split: []where.Weight{{Service: "models", Weight: 3}, {Service: "other", Weight: 1}},
		},
		Room: &where.Room{Slots: 64, KVCapacity: 400_000, KVTokens: 2290, ServiceTimeMS: 812.5, PrefillMS: 20, RefusingMS: 1500, Overuse: 4.2, MaxWaitMS: 62.5, Requests: 40},
		Targets: []where.Target{
			{
				Target: "e1/1", Address: "10.0.0.1:80", Place: "east", Chosen: true, Slots: 64, Requests: 30, OwnRequests: 2, PrefillTokens: 900,
				KVTokens: 81_000, Cached: true, Estimate: &where.Estimate{Slowness: 1.25, AgeMS: &age}, PrefillWaitMS: 18, Drawn: true, CostMS: 170,
			},
			{
				Target: "e2/1", Address: "10.0.0.2:80", Place: "west", Excluded: "no permit yet", Suspect: true, PausedMS: 300,
				Permit: &where.Permit{ColdMS: 40_000, ColdSource: "entry", ColdPerSecond: 4, Issuer: "r2", AskInMS: 90}, Probability: 0.25,
			},
		},
		LeftOut:  []where.LeftOut{{Target: "e3/1", Address: "10.0.0.3:80", Place: "west", Software: "v2", Reason: "evacuated"}},
		Decision: d,
	}
}

// TestWhere guards against a command that asks about another request than it was given, hides what the
// router answers, or ends with a code that says something else.
func TestWhere(t *testing.T) {
	target := where.Decision{Outcome: where.ToTarget, Target: "e1/1", Address: "10.0.0.1:80", Rule: "less costly", Draw: true, Random: "77", CopyFrom: "e4/1"}
	refused := where.Decision{Outcome: where.Refused, Status: 503, Rule: "service is full", Shortage: "memory", RetryAfter: "0.61", Detail: "tokens=9"}
	permit := where.Decision{Outcome: where.ToTarget, Target: "e2/1", Address: "10.0.0.2:80", Rule: "soonest", NeedsPermit: true, PermitWaitMS: 62.5}
	tests := map[string]struct {
		decision where.Decision
		status   int
		flags    []string
		args     []string
		code     int
		contains []string
		lacks    []string
	}{
		"a target": {
			target, 200,
			[]string{"-host", "a.example", "-workspace", "acme", "-key", "secret", "-prompt-tokens", "2200", "-output-tokens", "300", "-length-hint", "90", "-prefix", "1f:1000,2e:1200"},
			[]string{"POST", "/x/y?z=1"},
			0,
			[]string{
				"POST a.example/x/y at router r7 in east", "routing table 12", "route chat (streaming), service models, workspace acme, priority 1",
				"models (weight 3), other (weight 1)", "timeout 2s, objective 500ms", "prompt of 2200 tokens, longest shared part 1000 (key 1f), 90 output tokens",
				"mean service time 812.5ms, may wait 62.5ms", "needs 2290 tokens", "refused for 1.5s; the workspace uses 4.2 times",
				"30/64", "81000", "1.25", "1.2s", "18ms", "170ms", "25.0%", "no permit yet, failed here lately, wants nothing for 300ms, cold for 40s (entry), 4 a second, permits from r2, none for 90ms",
				"e3/1", "evacuated", "would go to e1/1 at 10.0.0.1:80: less costly", "a draw, with the number 77", "may copy the prompt from e4/1",
			},
			[]string{"secret"},
		},
		"refused":       {refused, 200, nil, []string{"GET", "/x"}, exitFailure, []string{"would be refused with 503: service is full", "shortage: memory", "Retry-After: 0.61", "detail: tokens=9"}, []string{"a draw"}},
		"permit":        {permit, 200, nil, []string{"GET", "/x"}, 0, []string{"needs a permit, for which it may wait 62.5ms"}, nil},
		"a peer":        {where.Decision{Outcome: where.ToPeer, Target: "r3", Address: "10.0.0.9:1"}, 200, nil, []string{"GET", "/x"}, 0, []string{"through router r3"}, nil},
		"unknown":       {where.Decision{Outcome: where.Unknown, Rule: "would ask"}, 200, nil, []string{"GET", "/x"}, exitUnknown, []string{"unknown: would ask"}, nil},
		"newer outcome": {where.Decision{Outcome: "teleported", Rule: "new"}, 200, nil, []string{"GET", "/x"}, exitUnknown, []string{"teleported: new"}, nil},
		"JSON":          {refused, 200, []string{"-json"}, []string{"GET", "/x"}, exitFailure, []string{`"retry-after": "0.61"`, `"left-out"`}, nil},
		"invalid host":  {refused, 400, nil, []string{"GET", "/x"}, exitUsage, []string{"host: is required"}, nil},
		"too many":      {refused, 429, nil, []string{"GET", "/x"}, exitUnknown, []string{"status 429"}, nil},
		"older build":   {refused, 0, nil, []string{"GET", "/x"}, exitUnknown, []string{"no answer of a build with this command"}, nil},
		"no path":       {refused, 200, nil, []string{"GET", "x"}, exitUsage, []string{"begins with a slash"}, nil},
		"one argument":  {refused, 200, nil, []string{"/x"}, exitUsage, []string{"want 2 arguments"}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var asked where.Question
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var err error
				asked, err = where.ReadQuestion(r)
				require.NoError(t, err)
				require.NotContains(t, r.URL.String(), "secret", "logs of proxies have the address")
				switch tt.status {
				case 0:
					_, _ = w.Write([]byte("vanillalug_ready 1\n"))
				case http.StatusOK:
					_ = json.NewEncoder(w).Encode(whereAnswer(tt.decision))
				default:
					http.Error(w, "host: is required", tt.status)
				}
			}))
			defer server.Close()
			var out bytes.Buffer
			args := append([]string{"where", "-router", strings.TrimPrefix(server.URL, "http://")}, tt.flags...)
			require.Equal(t, tt.code, run(append(args, tt.args...), &out, &out), out.String())
			for _, want := range tt.contains {
				require.Contains(t, out.String(), want)
			}
			for _, not := range tt.lacks {
				require.NotContains(t, out.String(), not)
			}
			if name != "a target" {
				return
			}
			require.Equal(t, "/x/y?z=1", asked.URI)
			require.Equal(t, "acme", asked.Workspace)
			require.Equal(t, "Bearer secret", asked.Header.Get("Authorization"))
			require.Equal(t, "2200,300", asked.Header.Get("X-Token-Count"))
			require.Equal(t, "90", asked.Header.Get("X-Length-Hint"))
			require.Equal(t, "1f:1000,2e:1200", asked.Header.Get("X-Prefix-Hash"))
		})
	}
}

// TestWhereWithoutRouter guards against a command that waits for a router that isn't there.
func TestWhereWithoutRouter(t *testing.T) {
	var out bytes.Buffer
	require.Equal(t, exitUsage, run([]string{"where", "GET", "/x"}, &out, &out))
	require.Contains(t, out.String(), "-router is required")
	require.Equal(t, exitUnknown, run([]string{"where", "-router", "127.0.0.1:1", "GET", "/x"}, &out, &out))
}
