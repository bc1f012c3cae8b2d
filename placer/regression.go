package placer

import (
	"cowslipbend.dev"
)

// Parameters of the regression of tail latencies.
const (
	maxNeighbourClasses = 31
	tailSampleDecay     = 0.998 // factor on the weight of all samples at each new one
	priorCoefficient    = 0.1   // slow-down by each core of a class that was not measured
	priorSamples        = 3.0   // weight of the prior, in samples with one core each
	priorTailMs         = 5.0   // tail latency before the first measurement
	solveInterval       = 16    // samples between two solutions; at first one follows each sample
	descentSweeps       = 12
	fullWeightServed    = 100.0 // answers from which a sample has its full weight
	maxTailRatio        = 20.0  // tails beyond this multiple of the base are cut to it
	microsPerMs         = 1000.0
)

// tailRegression learns how much each core of a neighbouring class adds to the
// tail latency of one class of service. It is a linear regression of the
// measured tail on the cores in use beside the service, with non-negative
// coefficients and exponentially decaying weights of the samples. The intercept
// is the base, the tail without neighbours.
type tailRegression struct {
	classes []cowslipbend.Class // classes[i] has index i+1 in xx, xy and fitted
	// xx and xy are the decayed sums of the products of the samples.
	xx [][]float64
	xy []float64
	// fitted holds the base in milliseconds, then milliseconds per core by class.
	fitted            []float64
	samplesSinceSolve int
}

func newTailRegression() *tailRegression {
	return &tailRegression{xx: [][]float64{{0}}, xy: []float64{0}, fitted: []float64{priorTailMs}}
}

// classIndex returns the index of the class, which it adds if needed. It
// returns 0 if there are too many classes.
func (r *tailRegression) classIndex(c cowslipbend.Class) int {
	for i, class := range r.classes {
		if class == c {
			return i + 1
		}
	}
	if len(r.classes) >= maxNeighbourClasses {
		return 0
	}
	r.classes = append(r.classes, c)
	for i := range r.xx {
		r.xx[i] = append(r.xx[i], 0)
	}
	r.xx = append(r.xx, make([]float64, len(r.classes)+1))
	r.xy = append(r.xy, 0)
	r.fitted = append(r.fitted, priorCoefficient*r.fitted[0])
	return len(r.classes)
}

func cores(m cowslipbend.Millicores) float64 { return float64(m) / float64(cowslipbend.Core) }

// learn takes a sample. Tasks of the service's own class beside it are left out.
func (r *tailRegression) learn(service cowslipbend.Class, sample *cowslipbend.Sample) {
	x := make([]float64, len(r.fitted), maxNeighbourClasses+1)
	x[0] = 1
	for _, l := range sample.Neighbours {
		if l.Class == service {
			continue
		}
		i := r.classIndex(l.Class)
		for len(x) < len(r.fitted) {
			x = append(x, 0)
		}
		if i > 0 {
			x[i] = cores(l.CPU)
		}
	}
	y := float64(sample.Tail) / microsPerMs
	if r.xx[0][0] > 0 {
		y = min(y, maxTailRatio*r.fitted[0])
	}
	weight := min(1, float64(sample.Served)/fullWeightServed)
	for i := range x {
		for j := range x {
			r.xx[i][j] = r.xx[i][j]*tailSampleDecay + weight*x[i]*x[j]
		}
		r.xy[i] = r.xy[i]*tailSampleDecay + weight*x[i]*y
	}
	if r.samplesSinceSolve++; r.samplesSinceSolve >= solveInterval || r.xx[0][0] < solveInterval {
		r.samplesSinceSolve = 0
		r.solve()
	}
}

// solve fits the coefficients by coordinate descent.
func (r *tailRegression) solve() {
	for range descentSweeps {
		for i := range r.fitted {
			diagonal, sum := r.xx[i][i], r.xy[i]
			for j, t := range r.fitted {
				if j != i {
					sum -= r.xx[i][j] * t
				}
			}
			if i > 0 {
				diagonal += priorSamples
				sum += priorSamples * priorCoefficient * r.fitted[0]
			}
			if diagonal > 0 {
				r.fitted[i] = max(0, sum/diagonal)
			}
		}
		if r.fitted[0] <= 0 {
			r.fitted[0] = priorTailMs * priorCoefficient
		}
	}
}

// coefficient returns the slow-down of the service by each core of the class, as
// a part of the base.
func (r *tailRegression) coefficient(c cowslipbend.Class) float64 {
	for i, class := range r.classes {
		if class == c {
			return r.fitted[i+1] / r.fitted[0]
		}
	}
	return priorCoefficient
}

// interferenceModel holds the regressions by class of service.
type interferenceModel struct {
	regressions map[cowslipbend.Class]*tailRegression
}

func newInterferenceModel() interferenceModel {
	return interferenceModel{regressions: map[cowslipbend.Class]*tailRegression{}}
}

func (m *interferenceModel) learn(s *cowslipbend.Sample) {
	if s.Service == "" || s.Tail <= 0 || s.Served <= 0 || s.Neighbours == nil {
		return
	}
	regression, ok := m.regressions[s.Class]
	if !ok {
		if len(m.regressions) >= maxClasses {
			return
		}
		regression = newTailRegression()
		m.regressions[s.Class] = regression
	}
	regression.learn(s.Class, s)
}

// coefficient returns the slow-down of the service's class by each core of the
// neighbouring class.
func (m *interferenceModel) coefficient(service, neighbour cowslipbend.Class) float64 {
	if regression, ok := m.regressions[service]; ok {
		return regression.coefficient(neighbour)
	}
	return priorCoefficient
}
