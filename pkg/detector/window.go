package detector

import "math"

const (
	// windowSize is how many latencies an upstream's median is taken from. It
	// is small, so that the baseline follows a service-wide slowdown after
	// nine outcomes of each upstream.
	windowSize = 16
	// minWindow is the least number of latencies for an estimate.
	minWindow = 5
)

// window holds the logarithms of an upstream's latest latencies.
type window struct {
	values [windowSize]float32
	count  int // values ever added
}

func (w *window) add(logLatency float64) {
	w.values[w.count%windowSize] = float32(logLatency)
	w.count++
}

func (w *window) ready() bool { return w.count >= minWindow }

// estimate returns the median and the median absolute deviation.
func (w *window) estimate() (median, mad float64) {
	n := min(w.count, windowSize)
	var scratch [windowSize]float32
	copy(scratch[:], w.values[:n])
	sorted := scratch[:n]
	insertionSort(sorted)
	middle := sorted[(n-1)/2]
	for i, v := range sorted {
		sorted[i] = float32(math.Abs(float64(v - middle)))
	}
	insertionSort(sorted)
	return float64(middle), float64(sorted[(n-1)/2])
}

// insertionSort is faster than package slices for so few values.
func insertionSort(values []float32) {
	for i := 1; i < len(values); i++ {
		for j := i; j > 0 && values[j] < values[j-1]; j-- {
			values[j], values[j-1] = values[j-1], values[j]
		}
	}
}
