package detector

import "math"

// Range of the target rate of false alarms per outcome. A busy upstream has
// about a million outcomes a day at one home.
const (
	minFalseAlarmRate = 1e-9 // weight 0
	maxFalseAlarmRate = 1e-6 // weight 1
)

// Tuning sets the threshold of a Group.
type Tuning struct {
	// Weight is the weight in the service document: 0 favours few false
	// ejections, 1 fast detection.
	Weight float64
	// FalseAlarms is the target rate of false alarms per outcome.
	FalseAlarmRate float64
	// Threshold is the evidence, in nats, at which an upstream is sick.
	Threshold float64
}

// TuningFor returns the Tuning for the weight of a document, clamped to 0..1. The
// target rate of false alarms rises geometrically from 1e-9 to 1e-6 per outcome.
func TuningForWeight(weight float64) Tuning {
	if !(weight >= 0) { // also catches NaN
		weight = 0
	}
	weight = min(weight, 1)
	rate := minFalseAlarmRate * math.Pow(maxFalseAlarmRate/minFalseAlarmRate, weight)
	tuning := TuningForRate(rate)
	tuning.Weight = weight
	return tuning
}

// TuningForRate returns the Tuning for a target rate of false alarms per
// outcome. A CUSUM with threshold h has on average at least e^h outcomes between
// false alarms. The number of hypotheses enters as a union bound.
func TuningForRate(rate float64) Tuning {
	return Tuning{FalseAlarmRate: rate, Threshold: math.Log(numHypotheses / rate)}
}
