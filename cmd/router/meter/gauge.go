package meter

import "github.com/VictoriaMetrics/metrics"

// SetGauge sets the value of a name with pairs of labels and values.
func SetGauge(name string, value float64, labels ...string) {
	metrics.GetOrCreateGauge(labelled("vanillalug_"+name, labels), nil).Set(value)
}
