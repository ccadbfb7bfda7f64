package engine

import (
	"net/http"
	"sync"
	"time"

	"vanillalug.example/reception"
)

// reportBody is the load that the engine reports, as it was AgeMS ago.
type reportBody struct {
	InFlight int   `json:"in-flight"`
	Slots    int   `json:"slots"`
	AgeMS    int64 `json:"age-ms"`
	UptimeMS int64 `json:"uptime-ms"`
	Leaving  bool  `json:"leaving"`
}

// reportLog holds the recent history of the load.
type reportLog struct {
	mu     sync.Mutex
	points []loadPoint
}

type loadPoint struct {
	at   time.Time
	load int
}

const maxPoints = 4096

func (l *reportLog) add(at time.Time, load int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.points = append(l.points, loadPoint{at: at, load: load})
	if len(l.points) > maxPoints {
		l.points = append([]loadPoint(nil), l.points[maxPoints/2:]...)
	}
}

// at returns the load at a time, or 0 before the oldest point.
func (l *reportLog) at(t time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.points) - 1; i >= 0; i-- {
		if !l.points[i].at.After(t) {
			return l.points[i].load
		}
	}
	return 0
}

func (e *Engine) report(w http.ResponseWriter, r *http.Request) {
	e.faults.OnRequest(r)
	now := time.Now()
	reception.WriteJSON(w, http.StatusOK, reportBody{
		InFlight: e.reports.at(now.Add(-e.opts.lag)),
		Slots:    e.opts.slots,
		AgeMS:    e.opts.lag.Milliseconds(),
		UptimeMS: now.Sub(e.started).Milliseconds(),
		Leaving:  e.faults.Current().Leaving,
	})
}
