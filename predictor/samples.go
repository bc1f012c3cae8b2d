package predictor

import (
	"math"
	"slices"

	"cowslipbend.dev"
)

// maxSamples bounds the samples of a step; more improve the median little.
const maxSamples = 64

// Samples holds the lengths of the runs of one step, one for each task. The zero value
// has none.
type Samples struct {
	// logs holds the logarithms of the lengths by task.
	logs map[int]float64
	// middle is the median of logs if sorted is set.
	middle float64
	sorted bool
}

// Set sets the length of the run of a task, as measured to its end or estimated from
// its progress.
func (s *Samples) Set(task int, length cowslipbend.Span) {
	if length <= 0 {
		return
	}
	if _, known := s.logs[task]; !known && len(s.logs) >= maxSamples {
		return
	}
	if s.logs == nil {
		s.logs = map[int]float64{}
	}
	s.logs[task], s.sorted = math.Log(float64(length)), false
}

// Count returns the number of samples. There may be no Samples.
func (s *Samples) Count() int {
	if s == nil {
		return 0
	}
	return len(s.logs)
}

// median returns the median of at least one sample.
func (s *Samples) median() float64 {
	if s.sorted {
		return s.middle
	}
	logs := make([]float64, 0, len(s.logs))
	for _, log := range s.logs {
		logs = append(logs, log)
	}
	slices.Sort(logs)
	n := len(logs)
	s.middle, s.sorted = (logs[(n-1)/2]+logs[n/2])/2, true
	return s.middle
}
