package predictor

import (
	"math"
	"strings"

	"cowslipbend.dev"
)

// Parameters of the estimates. Spreads are standard deviations of the logarithm of a
// length.
const (
	// stepSpread is the spread of the lengths within a step, of which users say
	// that it is 15 to 30 per cent.
	stepSpread = 0.25
	// medianVariance is the variance of a median against that of a mean.
	medianVariance = 1.57
	// minMedian is the number of samples from which a straggler does not move their
	// median far.
	minMedian = 3
	// minSpread bounds every spread from below, so that no source of knowledge
	// excludes the others.
	minSpread = 0.05
	// declaredSpread and classSpread are the spreads of the declared lengths around
	// the true ones, and of the lengths of a class, until they have been observed.
	declaredSpread = 0.5
	classSpread    = 1.0
	// priorWeight is the weight of these spreads, in steps.
	priorWeight = 2
	// clipDeviations limits the effect of one sample, in spreads.
	clipDeviations = 2.5
	// maxWeight is the weight, in steps, beyond which older samples of a class are
	// forgotten.
	maxWeight = 32
	// halfLife is the time in which the weight of a class halves, so that new
	// samples count more after a pause.
	halfLife = 2 * cowslipbend.Minute
	// maxLog bounds the logarithm of a length: some thirty years.
	maxLog = 27.5
	// maxClasses bounds the number of classes.
	maxClasses = 1024
)

// Class is a set of steps whose lengths are learned together.
type Class struct {
	Queue cowslipbend.QueueID `json:"q,omitempty"`
	Image string              `json:"i,omitempty"`
}

// maxImage bounds the bytes of an image's name in a class, as callers choose it.
const maxImage = 64

// ClassOf returns the class of the steps of a queue with the image.
func ClassOf(queue cowslipbend.QueueID, image string) Class {
	return Class{Queue: queue, Image: strings.ToValidUTF8(image[:min(len(image), maxImage)], "")}
}

// Predictor holds what ended runs tell about the lengths of further steps. Its times
// are on the clock of the store. It is not safe for concurrent use.
type Predictor struct{ classes map[Class]*class }

// New returns a predictor without knowledge.
func New() *Predictor { return &Predictor{classes: map[Class]*class{}} }

// class is what is known of a class.
type class struct {
	// weight is the number of steps that the estimates rest on.
	weight float64
	// length is the estimate of the lengths, and excess that of the lengths relative
	// to the declared ones.
	length, excess estimate
	updatedAt      cowslipbend.Time
}

// estimate is a robust mean of logarithms and their variance around it.
type estimate struct{ mean, variance float64 }

// add adds a sample with a share of the weight of all samples.
func (e *estimate) add(sample, share, varianceShare float64) {
	if share >= 1 {
		e.mean = sample
		return
	}
	limit := clipDeviations * max(math.Sqrt(e.variance), stepSpread)
	deviation := min(max(sample-e.mean, -limit), limit)
	e.mean += share * deviation
	e.variance = max(e.variance+varianceShare*(deviation*deviation-e.variance), minSpread*minSpread)
}

// age reduces the weight of a class by the time since its last sample.
func (c *class) age(now cowslipbend.Time) {
	if now > c.updatedAt {
		c.weight *= math.Exp2(-float64(now.Sub(c.updatedAt)) / float64(halfLife))
		c.updatedAt = now
	}
}

// Learn adds the length of an ended run to its class. The weight is the part that the
// run has of its step, as the runs of one step tell little more than one of them.
func (p *Predictor) Learn(key Class, declared, length cowslipbend.Span, weight float64, now cowslipbend.Time) {
	if length <= 0 || weight <= 0 {
		return
	}
	c := p.classes[key]
	if c == nil {
		p.makeRoom()
		c = &class{length: estimate{variance: classSpread * classSpread}, excess: estimate{variance: declaredSpread * declaredSpread}, updatedAt: now}
		p.classes[key] = c
	}
	c.age(now)
	c.weight = min(c.weight+weight, maxWeight)
	share, varianceShare := weight/c.weight, weight/(c.weight+priorWeight)
	log := math.Log(float64(length))
	c.length.add(log, share, varianceShare)
	if declared > 0 {
		c.excess.add(log-math.Log(float64(declared)), share, varianceShare)
	}
}

// makeRoom removes the class without samples for the longest time if there are
// maxClasses.
func (p *Predictor) makeRoom() {
	if len(p.classes) < maxClasses {
		return
	}
	var oldest Class
	found := false
	for key, c := range p.classes {
		if !found || c.updatedAt < p.classes[oldest].updatedAt {
			oldest, found = key, true
		}
	}
	delete(p.classes, oldest)
}

// Expect returns the expected length of the tasks of a step of the class. The samples
// are those of the step. Without any knowledge it returns the declared length.
func (p *Predictor) Expect(key Class, declared cowslipbend.Span, s *Samples, now cowslipbend.Time) cowslipbend.Span {
	if p.classes[key] == nil && s.Count() == 0 {
		return declared
	}
	mean, _ := p.expect(key, declared, s, now)
	return cowslipbend.Span(math.Round(math.Exp(min(mean, maxLog))))
}

// expect returns the expected logarithm of the length and its variance. There must be
// a class or a sample.
func (p *Predictor) expect(key Class, declared cowslipbend.Span, s *Samples, now cowslipbend.Time) (mean, variance float64) {
	c := p.classes[key]
	var sum, precision float64
	add := func(mean, variance float64) { sum, precision = sum+mean/variance, precision+1/variance }
	excess := estimate{variance: declaredSpread * declaredSpread}
	if c != nil {
		c.age(now)
		excess = estimate{mean: c.excess.mean * c.weight / (c.weight + 1), variance: c.excess.variance}
		add(c.length.mean, c.length.variance*(1+1/max(c.weight, minSpread)))
	}
	if declared > 0 {
		add(math.Log(float64(declared))+excess.mean, excess.variance)
	}
	if n := s.Count(); n > 0 {
		variance := stepSpread*stepSpread*medianVariance/float64(n) + minSpread*minSpread
		median := s.median()
		if precision > 0 && n < minMedian {
			// A run that takes several times as long must not count fully.
			mean, limit := sum/precision, clipDeviations*math.Sqrt(variance+1/precision)
			median = min(max(median, mean-limit), mean+limit)
		}
		add(median, variance)
	}
	return sum / precision, 1 / precision
}
