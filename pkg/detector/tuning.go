package detector

import "math"

// The range of the target false-alarm rate, per outcome. A busy upstream has
// about a million outcomes a day at one home.
const (
	falseAlarmsCautious = 1e-9 // weight 0
	falseAlarmsFast     = 1e-6 // weight 1
)

// Tuning sets the threshold of a Group.
type Tuning struct {
	// Weight is the document's weight: 0 avoids false ejections, 1 detects fast.
	Weight float64
	// FalseAlarms is the target rate of false alarms per outcome.
	FalseAlarms float64
	// Threshold is the score at which an upstream is judged sick, in nats.
	Threshold float64
}

// TuningFor maps the weight of a document, clamped to 0..1, to a Tuning. The
// target rate of false alarms runs geometrically from 1e-9 to 1e-6 per outcome.
func TuningFor(weight float64) Tuning {
	if !(weight >= 0) { // also catches NaN
		weight = 0
	}
	weight = min(weight, 1)
	rate := falseAlarmsCautious * math.Pow(falseAlarmsFast/falseAlarmsCautious, weight)
	tuning := TuningForRate(rate)
	tuning.Weight = weight
	return tuning
}

// TuningForRate returns the Tuning for a target rate of false alarms per
// outcome. A CUSUM with threshold h has at least e^h outcomes between false
// alarms; the number of hypotheses enters as a union bound.
func TuningForRate(rate float64) Tuning {
	return Tuning{FalseAlarms: rate, Threshold: math.Log(numHypotheses / rate)}
}
