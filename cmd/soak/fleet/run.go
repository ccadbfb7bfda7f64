package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// completionTime is how long calls in flight may take to complete.
	completionTime = callTimeout + time.Second
	// minServedRatio is the minimum ratio of the final requests that a router has
	// to serve after all faults have ended.
	minServedRatio = 0.9
	finalCalls     = 20
	// restoreStream is the stream of random numbers of RestoreStore; those of callers
	// are lower.
	restoreStream = 1 << 20
	// limitStream is that of LimitTargets.
	limitStream = 1<<20 + 1
	// killAllStream is that of KillAllRouters.
	killAllStream = 1<<20 + 2
	// evacuateStream is that of EvacuatePlaces.
	evacuateStream = 1<<20 + 3
	// coldStream is that of CoolTargets.
	coldStream = 1<<20 + 4
	// crowdStream is that of CrowdRouter.
	crowdStream = 1<<20 + 5
	// deadlyStream is that of SendDeadlyParts.
	deadlyStream = 1<<20 + 6
	// lateStream is that of LateHeartbeats.
	lateStream = 1<<20 + 7
	// earlierStream is that of LateEarlierRuns.
	earlierStream = 1<<20 + 8
	// failLongStream is that of FailLong.
	failLongStream = 1<<20 + 9
)

// Report is the result of a run.
type Report struct {
	Seed   uint64
	Calls  int
	Served int
	// TakenUp counts the streams that callers wanted to go on with and that a router answered,
	// WentOn those that did.
	TakenUp, WentOn int
	Violations      []string
	Events          []string
}

// Run runs one seed on a new fleet, injects faults for the given length of time
// and checks every guarantee.
func Run(bin, dir string, size Size, seed uint64, length time.Duration) (Report, error) {
	report := Report{Seed: seed}
	h, err := NewHarness(bin, dir, size)
	defer h.Stop()
	if err != nil {
		return report, err
	}
	end := time.Now().Add(length)
	stop := make(chan struct{})
	var callers, others sync.WaitGroup
	for i, r := range h.Routers {
		other := h.Routers[(i+1)%len(h.Routers)]
		for j := range size.Callers {
			random := rand.New(rand.NewPCG(seed, uint64(i*size.Callers+j+2)))
			callers.Go(func() { h.CallLog.RunCaller(fmt.Sprintf("c%d-%d", i, j), r, other, random, stop) })
		}
	}
	others.Go(func() { h.violate(h.ProbeVersions(stop)...) })
	if h.hardLoad {
		others.Go(func() { h.SendHeartbeats(stop) })
		others.Go(func() { h.violate(h.WatchUsage(stop)...) })
	}
	waitForChanges := h.startChanges(seed, length)
	h.InjectFaults(rand.New(rand.NewPCG(seed, 0)), end)
	reconfigureErr := waitForChanges()
	h.AwaitQuiet(returnTimeout)
	h.resumeRouters()
	if err := h.AwaitReady(); err != nil {
		h.violate(err.Error())
	}
	callersStopped := time.Now()
	close(stop)
	callers.Wait()
	others.Wait()
	h.violate(h.checkRecovery()...)
	if h.hardLoad {
		h.violate(h.checkPrompts()...)
	}
	time.Sleep(completionTime)
	h.violate(h.Check(callersStopped)...)
	report.Violations, report.Events = h.violations, h.Events()
	report.count(h.CallLog.Calls())
	return report, reconfigureErr
}

func (report *Report) count(calls []Call) {
	for _, c := range calls {
		report.Calls++
		if c.Resumes != "" && c.Status != 0 {
			report.TakenUp++
		}
		if c.Resumes != "" && c.Status == http.StatusOK {
			report.WentOn++
		}
		if c.Status == http.StatusOK && c.Err == nil {
			report.Served++
		}
	}
}

// startChanges starts everything beside InjectFaults that changes the fleet for the given length of
// time. The returned function waits until all of it has ended.
func (h *Harness) startChanges(seed uint64, length time.Duration) (wait func() error) {
	end := time.Now().Add(length)
	var changes sync.WaitGroup
	var reconfigureErr, deadlyErr, lateErr, earlierErr error
	changes.Go(func() { h.RestoreStore(rand.New(rand.NewPCG(seed, restoreStream)), end) })
	changes.Go(func() { h.LimitTargets(rand.New(rand.NewPCG(seed, limitStream)), end) })
	changes.Go(func() { h.KillAllRouters(rand.New(rand.NewPCG(seed, killAllStream)), length) })
	changes.Go(func() { reconfigureErr = h.Reconfigure(rand.New(rand.NewPCG(seed, 1)), end) })
	if h.hardLoad {
		changes.Go(func() { h.CoolTargets(rand.New(rand.NewPCG(seed, coldStream)), end) })
		changes.Go(func() { h.violate(h.CrowdRouter(rand.New(rand.NewPCG(seed, crowdStream)), length)...) })
		changes.Go(func() { h.EvacuatePlaces(rand.New(rand.NewPCG(seed, evacuateStream)), end) })
		changes.Go(func() { lateErr = h.LateHeartbeats(rand.New(rand.NewPCG(seed, lateStream)), end) })
		changes.Go(func() { earlierErr = h.LateEarlierRuns(rand.New(rand.NewPCG(seed, earlierStream)), end) })
		changes.Go(func() { h.FailLong(rand.New(rand.NewPCG(seed, failLongStream)), end) })
		changes.Go(func() { deadlyErr = h.SendDeadlyParts(rand.New(rand.NewPCG(seed, deadlyStream)), end) })
	}
	return func() error {
		changes.Wait()
		return errors.Join(reconfigureErr, deadlyErr, lateErr, earlierErr)
	}
}

// checkRecovery returns a violation for each router that serves too few requests
// after all faults have ended.
func (h *Harness) checkRecovery() []string {
	var violations []string
	for _, r := range h.Routers {
		served := 0
		for n := range finalCalls {
			if status, err := SendDirect(r, "/safe/x", fmt.Sprintf("last-%s-%d", r.Name, n)); err == nil && status == http.StatusOK {
				served++
			}
		}
		if float64(served) < minServedRatio*finalCalls {
			violations = append(violations, fmt.Sprintf("%s serves %d of %d requests after all faults have ended", r.Name, served, finalCalls))
		}
	}
	return violations
}
