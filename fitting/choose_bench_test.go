package fitting

import (
	"strconv"
	"testing"
	"time"

	"vanillalug.example/crew"
)

// BenchmarkChoose measures a choice among the targets of the second deployment.
func BenchmarkChoose(b *testing.B) {
	const targets = 90
	all := make([]Candidate, targets)
	for i := range all {
		all[i] = Candidate{
			Target: crew.NewTarget("t"+strconv.Itoa(i), "s", "10.0.0.1:1", crew.WithSlots(24), crew.WithPlace("p"+strconv.Itoa(i%3))),
			Load:   NewLoad(4+i%9, 500*(i%4)).WithKVTokens(3000 * (4 + i%9)),
			Cached: i%8 == 0, OwnRequests: i % 3,
		}
	}
	nowhere := make([]Candidate, targets)
	for i := range nowhere {
		nowhere[i] = all[i]
		nowhere[i].Cached = false
	}
	requests := map[string]struct {
		request Request
		all     []Candidate
	}{
		"plain":          {Request{Place: "p1", ServiceTime: 20 * time.Millisecond, TimeLeft: time.Second}, all},
		"cached":         {Request{Work: long, Slots: 24, KVCapacity: 419409, TimeLeft: time.Second, Place: "p1"}, all},
		"cached nowhere": {Request{Work: long, Slots: 24, KVCapacity: 419409, TimeLeft: time.Second, Place: "p1"}, nowhere},
	}
	for name, bench := range requests {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			q := bench.request
			for b.Loop() {
				q.Random++
				Choose(q, bench.all)
			}
		})
	}
}
