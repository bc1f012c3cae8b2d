package placer

import (
	"cowslipbend.dev"
)

// Terms of learned interference.
const (
	maxNeighbours = 31
	pairFade      = 0.998 // weight of a sample after one more of the service
	prior         = 0.1   // slow-down for each core of an unknown neighbour
	priorWeight   = 3.0   // samples that the prior is worth, with one core each
	priorTail     = 5.0   // milliseconds, until a tail is measured
	solveEvery    = 16    // samples between two solutions
	sweeps        = 12
	fullServed    = 100.0 // answers from which a tail has its full weight
	outlier       = 20.0  // times the base, beyond which a tail is cut
	microsPerMs   = 1000.0
)

// slowing learns how much each core of a neighbouring class adds to the tail
// of one class of service: a regression of the measured tail on the cores that
// ran beside it, with weights that are never below zero and that fade. The
// first term is the tail alone.
type slowing struct {
	classes []cowslipbend.Class // class i+1 of the terms
	// moments and products of the faded samples.
	xx [][]float64
	xy []float64
	// terms is the solution: base in milliseconds, then milliseconds a core.
	terms []float64
	since int
}

func newSlowing() *slowing {
	return &slowing{xx: [][]float64{{0}}, xy: []float64{0}, terms: []float64{priorTail}}
}

// term returns the index of a class, adding it; 0 if there is no room.
func (s *slowing) term(c cowslipbend.Class) int {
	for i, have := range s.classes {
		if have == c {
			return i + 1
		}
	}
	if len(s.classes) >= maxNeighbours {
		return 0
	}
	s.classes = append(s.classes, c)
	for i := range s.xx {
		s.xx[i] = append(s.xx[i], 0)
	}
	s.xx = append(s.xx, make([]float64, len(s.classes)+1))
	s.xy = append(s.xy, 0)
	s.terms = append(s.terms, prior*s.terms[0])
	return len(s.classes)
}

func cores(m cowslipbend.Millicores) float64 { return float64(m) / float64(cowslipbend.Core) }

// learn takes a tail and what ran beside it, the class itself left out.
func (s *slowing) learn(self cowslipbend.Class, sample *cowslipbend.Sample) {
	x := make([]float64, len(s.terms), maxNeighbours+1)
	x[0] = 1
	for _, l := range sample.Beside {
		if l.Class == self {
			continue
		}
		i := s.term(l.Class)
		for len(x) < len(s.terms) {
			x = append(x, 0)
		}
		if i > 0 {
			x[i] = cores(l.CPU)
		}
	}
	y := float64(sample.Tail) / microsPerMs
	if s.xx[0][0] > 0 {
		y = min(y, outlier*s.terms[0])
	}
	weight := min(1, float64(sample.Served)/fullServed)
	for i := range x {
		for j := range x {
			s.xx[i][j] = s.xx[i][j]*pairFade + weight*x[i]*x[j]
		}
		s.xy[i] = s.xy[i]*pairFade + weight*x[i]*y
	}
	if s.since++; s.since >= solveEvery || s.xx[0][0] < solveEvery {
		s.since = 0
		s.solve()
	}
}

// solve finds the terms by coordinate descent.
func (s *slowing) solve() {
	for range sweeps {
		for i := range s.terms {
			own, sum := s.xx[i][i], s.xy[i]
			for j, t := range s.terms {
				if j != i {
					sum -= s.xx[i][j] * t
				}
			}
			if i > 0 {
				own += priorWeight
				sum += priorWeight * prior * s.terms[0]
			}
			if own > 0 {
				s.terms[i] = max(0, sum/own)
			}
		}
		if s.terms[0] <= 0 {
			s.terms[0] = priorTail * prior
		}
	}
}

// harm returns the slow-down of the service by each core of the class.
func (s *slowing) harm(c cowslipbend.Class) float64 {
	for i, have := range s.classes {
		if have == c {
			return s.terms[i+1] / s.terms[0]
		}
	}
	return prior
}

// pairs learns the slow-down of services by their neighbours.
type pairs struct {
	services map[cowslipbend.Class]*slowing
}

func newPairs() pairs { return pairs{services: map[cowslipbend.Class]*slowing{}} }

func (p *pairs) learn(s *cowslipbend.Sample) {
	if s.Service == "" || s.Tail <= 0 || s.Served <= 0 || s.Beside == nil {
		return
	}
	v, ok := p.services[s.Class]
	if !ok {
		if len(p.services) >= maxClasses {
			return
		}
		v = newSlowing()
		p.services[s.Class] = v
	}
	v.learn(s.Class, s)
}

// harm returns the slow-down of a service's class by each core of the other.
func (p *pairs) harm(service, other cowslipbend.Class) float64 {
	if v, ok := p.services[service]; ok {
		return v.harm(other)
	}
	return prior
}
