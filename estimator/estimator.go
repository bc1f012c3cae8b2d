package estimator

import (
	"math"
	"sort"

	"cowslipbend.dev"
)

// Parameters of the estimates. Loads are shares of a serving task's time.
const (
	// priorInterference and priorVariance are the mean and the variance of the
	// interference coefficient of a pair that has not been observed. Most
	// images interfere weakly, some more than ten times as strongly.
	priorInterference = 0.8
	priorVariance     = 2.0
	// meanBaseLoad is the mean base load of a serving task, and
	// baseLoadVariance its variance among tasks and over time: a base load
	// varies by half.
	meanBaseLoad     = 0.42
	baseLoadVariance = 0.03
	// priorSpread is the variance of the base loads of a group's hosts about that
	// of the group, until samples have told better.
	priorSpread = 0.01
	// noiseVariance is the variance of a load that is derived from a tail
	// latency in whole milliseconds.
	noiseVariance = 0.0015
	// fillingNoise is the standard deviation of the load that filling work adds, as a
	// share of it: it varies, and begins and ends within the span of a sample.
	fillingNoise = 0.3
	// interferenceDriftVariance is added to the variance of a coefficient with
	// each sample, so that the estimate can follow a coefficient that changes.
	interferenceDriftVariance = 0.0005
	// minFillingShare is the share of a host's processors below which an image
	// is not evaluated: variations of the base load would be attributed to it.
	minFillingShare = 0.02
	// maxInterference bounds a coefficient; at this value, a twelfth of the
	// host's processors takes all of a serving task's time.
	maxInterference = 12
	// maxMeasurableLoad is the load above which the tail latency no longer
	// indicates the load.
	maxMeasurableLoad = 0.96
	// unloadedTailShare is the ratio of the unloaded tail to the lowest tail
	// measured, as a task is hardly ever measured without any load.
	unloadedTailShare = 0.85
	// priorTailShare is the share of the target that is taken for the lowest
	// tail until one has been measured.
	priorTailShare = 0.25
	// maxPairs bounds the number of pairs.
	maxPairs = 4096
)

// Tolerances of a published estimate: it gets a new version once the estimate
// differs from it by more. Pacers correct smaller differences from the tail
// latencies of their own host.
const (
	publishedMeanTolerance = 0.1
	// publishedDeviationTolerance is the tolerance of the standard deviation, as
	// a share of the published one.
	publishedDeviationTolerance = 0.3
)

// Serving is the state of a serving task in a sample. Tail and Target are the
// measured and the highest accepted tail latency in milliseconds.
type Serving struct {
	Image string
	// Group names the tasks whose base loads vary together, on all hosts.
	Group  string
	Tail   float64
	Target float64
}

// Filling is the share of a host's processors that the filling tasks of one
// image use.
type Filling struct {
	Image string
	Share float64
}

// Fillings returns the shares per image as a list sorted by image.
func Fillings(shares map[string]float64) []Filling {
	list := make([]Filling, 0, len(shares))
	for image, share := range shares {
		list = append(list, Filling{Image: image, Share: share})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Image < list[j].Image })
	return list
}

// Sample is the state of one host at one time.
type Sample struct {
	Host string
	// At is when it was measured. Samples that are older than the last one of a group
	// count as if they were as new.
	At      cowslipbend.Time
	Serving []Serving
	Filling []Filling
}

type imagePair struct{ serving, filling string }

// estimate is the mean and variance of an interference coefficient or of the
// deviation of a host's base load.
type estimate struct{ mean, variance float64 }

// pairEstimate is the estimate of an interference coefficient. published is the
// one of its version.
type pairEstimate struct {
	estimate
	published estimate
	version   int64
}

// publish gives the estimate the version if it has left the tolerances of the
// published one, and reports whether it has.
func (p *pairEstimate) publish(version int64) bool {
	deviation, published := math.Sqrt(p.variance), math.Sqrt(p.published.variance)
	if p.version > 0 && math.Abs(p.mean-p.published.mean) <= publishedMeanTolerance && math.Abs(deviation-published) <= publishedDeviationTolerance*published {
		return false
	}
	p.published, p.version = p.estimate, version
	return true
}

// servingGroup identifies the tasks of an image whose base loads vary together.
type servingGroup struct{ image, name string }

// Estimator holds the estimates. It is not safe for concurrent use.
type Estimator struct {
	pairs map[imagePair]pairEstimate
	// fillings lists the filling images of the pairs of each serving image.
	fillings map[string][]string
	// minTails holds the lowest tail measured of each serving image.
	minTails map[string]float64
	// groupLoads holds the base load of each group. deviations holds, by host, how the
	// groups in its last sample deviate from it.
	groupLoads map[servingGroup]groupLoad
	deviations map[string]map[servingGroup]hostDeviation
	version    int64
}

// New returns an estimator that has observed nothing.
func New() *Estimator {
	return &Estimator{
		pairs: map[imagePair]pairEstimate{}, fillings: map[string][]string{}, minTails: map[string]float64{},
		groupLoads: map[servingGroup]groupLoad{}, deviations: map[string]map[servingGroup]hostDeviation{},
	}
}

// Version returns the version of the newest published estimate.
func (e *Estimator) Version() int64 { return e.version }

// AdvanceVersion returns a version above that of all published estimates.
func (e *Estimator) AdvanceVersion() int64 {
	e.version++
	return e.version
}

// Interference returns the estimated interference coefficient: the load that
// the filling image would add to the serving one if it used all processors of
// their host.
func (e *Estimator) Interference(serving, filling string) float64 {
	return e.estimateOf(imagePair{serving, filling}).mean
}

// InterferenceBound returns an upper bound of the interference coefficient: its
// estimate plus the number of standard deviations.
func (e *Estimator) InterferenceBound(serving, filling string, deviations float64) float64 {
	est := e.estimateOf(imagePair{serving, filling})
	return est.mean + deviations*math.Sqrt(est.variance)
}

func (e *Estimator) estimateOf(pair imagePair) estimate {
	if known, ok := e.pairs[pair]; ok {
		return known.estimate
	}
	return estimate{mean: priorInterference, variance: priorVariance}
}

// Load returns the load of the serving task that its tail latency indicates.
func (e *Estimator) Load(s Serving) float64 {
	unloadedTail := e.minTail(s.Image, s.Target) * unloadedTailShare
	if s.Tail <= unloadedTail {
		return 0
	}
	return min(1-unloadedTail/s.Tail, maxMeasurableLoad)
}

// minTail returns the lowest tail measured of the image, or one derived from
// the target if none has been measured.
func (e *Estimator) minTail(image string, target float64) float64 {
	if tail, ok := e.minTails[image]; ok {
		return tail
	}
	return target * priorTailShare
}

// TargetLoad returns the load at which the tail of the serving image is the
// given share of its target.
func (e *Estimator) TargetLoad(image string, target, share float64) float64 {
	return e.Load(Serving{Image: image, Tail: target * share, Target: target})
}

// Observe updates the estimates from a sample.
func (e *Estimator) Observe(s Sample) {
	for _, t := range s.Serving {
		if t.Tail > 0 && t.Target > 0 {
			e.minTails[t.Image] = min(e.minTail(t.Image, t.Target), t.Tail)
		}
	}
	previous, current := e.deviations[s.Host], map[servingGroup]hostDeviation{}
	for g, load := range e.meanLoads(s) {
		shared, known := e.groupLoads[g]
		if !known {
			shared = newGroupLoad(s.At)
		}
		deviation, ok := previous[g]
		if !ok {
			deviation = hostDeviation{estimate: estimate{variance: shared.spread}, at: s.At}
		}
		shared.advance(s.At)
		deviation.advance(s.At, shared.spread)
		e.update(g.image, load, &shared, &deviation, s.Filling)
		e.groupLoads[g], current[g] = shared, deviation
	}
	e.deviations[s.Host] = current
	for g := range previous {
		if _, ok := current[g]; !ok {
			e.forgetGroup(g)
		}
	}
}

// BaseLoad returns the highest base load that the image's groups on a host are
// expected to have at a time, or the prior mean of all images if the last sample of
// the host had none of them.
func (e *Estimator) BaseLoad(host, image string, at cowslipbend.Time) float64 {
	largest, found := 0.0, false
	for g, deviation := range e.deviations[host] {
		if g.image == image {
			shared := e.groupLoads[g]
			shared.advance(at)
			largest, found = max(largest, min(shared.level+deviation.mean, maxMeasurableLoad)), true
		}
	}
	if !found {
		return meanBaseLoad
	}
	return largest
}

// ForgetHost drops the base loads of a host.
func (e *Estimator) ForgetHost(host string) {
	groups := e.deviations[host]
	delete(e.deviations, host)
	for g := range groups {
		e.forgetGroup(g)
	}
}

// forgetGroup drops the load of a group that no host has any more.
func (e *Estimator) forgetGroup(g servingGroup) {
	for _, groups := range e.deviations {
		if _, ok := groups[g]; ok {
			return
		}
	}
	delete(e.groupLoads, g)
}

// meanLoads returns the mean load of the tasks in each group, as interference
// is the same for all of them.
func (e *Estimator) meanLoads(s Sample) map[servingGroup]float64 {
	sums, counts := map[servingGroup]float64{}, map[servingGroup]float64{}
	for _, t := range s.Serving {
		if t.Tail > 0 && t.Target > 0 {
			g := servingGroup{t.Image, t.Group}
			sums[g] += e.Load(t)
			counts[g]++
		}
	}
	for g := range sums {
		sums[g] /= counts[g]
	}
	return sums
}

// update distributes the difference between a measured and the expected load
// among the interference coefficients of the filling images, the group's base load
// and its deviation on the host.
func (e *Estimator) update(serving string, load float64, shared *groupLoad, deviation *hostDeviation, fillings []Filling) {
	added, addedVariance := e.addedLoad(serving, fillings)
	expected := shared.level + deviation.mean + added
	if load >= maxMeasurableLoad && expected >= maxMeasurableLoad {
		return // The tail only confirms that the load is above what can be measured.
	}
	innovation := load - expected
	variance := shared.levelVariance + deviation.variance + noiseVariance + fillingNoise*fillingNoise*added*added + addedVariance
	for _, f := range fillings {
		e.correctPair(imagePair{serving, f.Image}, f.Share, innovation, variance)
	}
	if addedVariance < noiseVariance {
		shared.observeSpread(innovation + deviation.mean)
	}
	shared.correct(innovation, variance)
	deviation.correct(innovation, variance)
}

// addedLoad returns the load that filling work is expected to add to serving tasks of
// an image, and the variance that it has by those of the coefficients.
func (e *Estimator) addedLoad(serving string, fillings []Filling) (load, variance float64) {
	for _, f := range fillings {
		pair := e.estimateOf(imagePair{serving, f.Image})
		load += pair.mean * f.Share
		variance += pair.variance * f.Share * f.Share
	}
	return load, variance
}

// correctPair corrects the coefficient of a pair by its share of the difference
// between a measured and the expected load, whose variance is given.
func (e *Estimator) correctPair(key imagePair, share, innovation, variance float64) {
	pair, ok := e.pairs[key]
	if !ok && len(e.pairs) >= maxPairs || share < minFillingShare {
		return
	}
	if !ok {
		pair.estimate = e.estimateOf(key)
	}
	gain := pair.variance * share / variance
	pair.mean = min(max(pair.mean+gain*innovation, 0), maxInterference)
	pair.variance = pair.variance*(1-gain*share) + interferenceDriftVariance
	if pair.publish(e.version + 1) {
		e.version++
	}
	e.setPair(key, pair)
}

// Pairs returns the estimates for all serving images for which include returns
// true, sorted by serving and filling image.
func (e *Estimator) Pairs(include func(serving string) bool) []cowslipbend.ImagePair {
	var list []cowslipbend.ImagePair
	for pair, est := range e.pairs {
		if include(pair.serving) {
			list = append(list, pair.withEstimate(est.estimate))
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Serving != list[j].Serving {
			return list[i].Serving < list[j].Serving
		}
		return list[i].Filling < list[j].Filling
	})
	return list
}

// PairsSince returns the published estimates for a serving image with a version
// above the given one.
func (e *Estimator) PairsSince(serving string, version int64) []cowslipbend.ImagePair {
	var list []cowslipbend.ImagePair
	for _, filling := range e.fillings[serving] {
		pair := imagePair{serving, filling}
		if est := e.pairs[pair]; est.version > version {
			list = append(list, pair.withEstimate(est.published.rounded()))
		}
	}
	return list
}

// Precision of published estimates, in steps of 1.
const (
	meanSteps     = 1e3
	varianceSteps = 1e4
)

func (e estimate) rounded() estimate {
	return estimate{mean: math.Round(e.mean*meanSteps) / meanSteps, variance: math.Round(e.variance*varianceSteps) / varianceSteps}
}

func (p imagePair) withEstimate(est estimate) cowslipbend.ImagePair {
	return cowslipbend.ImagePair{Serving: p.serving, Filling: p.filling, Interference: est.mean, Variance: est.variance}
}

// UpdatePairs replaces estimates by those of another estimator that has more
// samples.
func (e *Estimator) UpdatePairs(pairs []cowslipbend.ImagePair) {
	for _, p := range pairs {
		key := imagePair{p.Serving, p.Filling}
		pair := e.pairs[key]
		pair.estimate = estimate{mean: p.Interference, variance: p.Variance}
		e.setPair(key, pair)
	}
}

func (e *Estimator) setPair(key imagePair, pair pairEstimate) {
	if _, ok := e.pairs[key]; !ok {
		e.fillings[key.serving] = append(e.fillings[key.serving], key.filling)
	}
	e.pairs[key] = pair
}
