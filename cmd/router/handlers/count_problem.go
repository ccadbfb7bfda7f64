package handlers

import (
	"vanillalug.example"
	"vanillalug.example/cmd/router/meter"
)

// countProblem counts a problem that is sent within a stream instead of as a
// response of its own.
func countProblem(ws vanillalug.Workspace, p *vanillalug.Problem) {
	meter.CountResponse(ws.Name(), p.Status(), string(p.RunState()))
}
