package detector

import "math"

const (
	// windowSize is the number of latencies in an upstream's median. It is small
	// so that the baseline follows a service-wide slowdown after nine outcomes of
	// each upstream.
	windowSize = 16
	// minWindowLatencies is the minimum number of latencies for an estimate.
	minWindowLatencies = 5
)

// window holds the logarithms of the latest latencies of an upstream.
type window struct {
	values [windowSize]float32
	count  int // values added since creation
}

func (w *window) add(logLatency float64) {
	w.values[w.count%windowSize] = float32(logLatency)
	w.count++
}

func (w *window) ready() bool { return w.count >= minWindowLatencies }

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

// insertionSort sorts the values. It is faster than package slices for few values.
func insertionSort(values []float32) {
	for i := 1; i < len(values); i++ {
		for j := i; j > 0 && values[j] < values[j-1]; j-- {
			values[j], values[j-1] = values[j-1], values[j]
		}
	}
}
