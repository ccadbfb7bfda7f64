package size

import (
	"fmt"
	"time"

	"vanillalug.example"
	"vanillalug.example/desk"
	"vanillalug.example/dispatch"
	"vanillalug.example/schedule"
)

const decisions = 2000

// MeasurePlacement returns the processor time of one admission in a pool of a
// number of engines: ranking, reading every load and the admission controller.
func MeasurePlacement(engines int) (time.Duration, error) {
	f, err := vanillalug.ReadFleet("measured", documentText(6*engines, 1))
	if err != nil {
		return 0, err
	}
	clock := schedule.NewFake(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
	loads := dispatch.NewLoadView()
	pool := f.EnginesFor("model-0")
	for _, e := range pool {
		loads.Put(dispatch.NewLoad(e.Name(), 8, dispatch.Up, clock.Now()))
	}
	d := desk.New(clock, 64)
	cpu := processorTime()
	for i := range decisions {
		admitOnce(f, loads, d, clock, pool, i)
	}
	return (processorTime() - cpu) / decisions, nil
}

func admitOnce(f *vanillalug.Fleet, loads *dispatch.LoadView, d *desk.Controller, clock schedule.Clock, pool []vanillalug.Engine, i int) {
	ranked := vanillalug.RankEngines(1, uint64(chatKey(i)), pool)
	total := 0
	var others []desk.Alternative
	for _, name := range ranked {
		l, _ := loads.Get(name, clock.Now())
		total += l.InFlight()
		others = append(others, desk.NewAlternative(name, l.InFlight(), 64))
	}
	id := fmt.Sprint(i)
	d.Handle(desk.Arrived{
		Request:      desk.NewRequest(id, "workspace"),
		Pool:         desk.NewPool(len(ranked), total, f.LoadBound(), f.LoadBoundFloor()),
		Alternatives: others,
	})
	d.Handle(desk.Finished{ID: id})
}
