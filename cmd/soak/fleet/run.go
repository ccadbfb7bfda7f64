package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// settleTime is how long everything that still runs may take to end.
	settleTime = callWait + time.Second
	// servedShare is the least share of the last requests that is served when
	// nothing is disturbed any more.
	servedShare = 0.9
	lastCalls   = 20
)

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Calls      int
	Served     int
	Violations []string
	Events     []string
}

// Run plays one seed on a new fleet for the time and checks every promise.
func Run(bin, dir string, size Size, seed uint64, length time.Duration) (Report, error) {
	report := Report{Seed: seed}
	s, err := NewHarness(bin, dir, size)
	defer s.Stop()
	if err != nil {
		return report, err
	}
	end := time.Now().Add(length)
	stop := make(chan struct{})
	var callers, others sync.WaitGroup
	for i, r := range s.Routers {
		for j := range size.Callers {
			random := rand.New(rand.NewPCG(seed, uint64(i*size.Callers+j+2)))
			callers.Go(func() { s.CallLog.RunCaller(fmt.Sprintf("c%d-%d", i, j), r, random, stop) })
		}
	}
	var probed []string
	var failed error
	others.Go(func() { probed = s.ProbeVersions(stop) })
	others.Go(func() { failed = s.Reconfigure(rand.New(rand.NewPCG(seed, 1)), end) })
	s.InjectFaults(rand.New(rand.NewPCG(seed, 0)), end)
	s.AwaitQuiet(contactTime)
	s.wake()
	if err := s.AwaitReady(); err != nil {
		probed = append(probed, err.Error())
	}
	close(stop)
	callers.Wait()
	others.Wait()
	report.Violations = append(s.recovered(), probed...)
	time.Sleep(settleTime)
	report.Violations = append(report.Violations, s.Check()...)
	report.Events = s.Events()
	for _, c := range s.CallLog.Calls() {
		report.Calls++
		if c.Status == http.StatusOK && c.Err == nil {
			report.Served++
		}
	}
	return report, failed
}

// recovered returns the routers that serve too little after everything is over.
func (s *Harness) recovered() []string {
	var broken []string
	for _, r := range s.Routers {
		served := 0
		for n := range lastCalls {
			if status, err := SendDirect(r, "/safe/x", fmt.Sprintf("last-%s-%d", r.Name, n)); err == nil && status == http.StatusOK {
				served++
			}
		}
		if float64(served) < servedShare*lastCalls {
			broken = append(broken, fmt.Sprintf("%s serves %d of %d after everything is over", r.Name, served, lastCalls))
		}
	}
	return broken
}
