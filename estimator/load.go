package estimator

import (
	"math"

	"cowslipbend.dev"
)

// Parameters of the base loads. Rates are per second.
const (
	// levelDrift and slopeDrift are the variances that the level and the slope of a
	// group's base load gain in a second.
	levelDrift = 0.002
	slopeDrift = 0.004
	// priorSlopeVariance is the variance of the slope of a group that has not been
	// observed.
	priorSlopeVariance = 0.01
	// slopeReversion is the change of the slope in a second for each unit by which
	// the level differs from its mean. Loads that swing with a period of 10 to 15
	// seconds have such a change.
	slopeReversion = 0.2
	// maxAdvance is the longest time over which a base load is extrapolated. After a
	// longer one nothing is expected of it.
	maxAdvance = 2 * cowslipbend.Second
	// deviationDrift is the share of the spread that the variance of a host's
	// deviation gains in a second.
	deviationDrift = 0.4
	// spreadWeight is the weight of a sample in the spread, minSpread its lower
	// bound.
	spreadWeight = 0.1
	minSpread    = 0.0005
)

// groupLoad is the base load that the tasks of a group have on all hosts. Callers
// spread over the tasks of a group, so that their loads rise and fall together.
type groupLoad struct {
	at cowslipbend.Time
	// level is the load and slope its change in a second.
	level, slope                             float64
	levelVariance, slopeVariance, covariance float64
	// spread is the variance of the loads of single hosts about the level.
	spread float64
}

func newGroupLoad(at cowslipbend.Time) groupLoad {
	return groupLoad{at: at, level: meanBaseLoad, levelVariance: baseLoadVariance, slopeVariance: priorSlopeVariance, spread: priorSpread}
}

// advance extrapolates the load to a time. An earlier one changes nothing.
func (g *groupLoad) advance(to cowslipbend.Time) {
	span := to.Sub(g.at)
	switch {
	case span <= 0:
		return
	case span > maxAdvance:
		spread := g.spread
		*g = newGroupLoad(to)
		g.spread = spread
		return
	}
	g.at = to
	elapsed := seconds(span)
	change := slopeReversion * (meanBaseLoad - g.level)
	g.level = min(max(g.level+g.slope*elapsed+change*elapsed*elapsed/2, 0), maxMeasurableLoad)
	g.slope += change * elapsed
	g.levelVariance = min(g.levelVariance+elapsed*(2*g.covariance+elapsed*g.slopeVariance+levelDrift), baseLoadVariance)
	g.covariance += elapsed * g.slopeVariance
	g.slopeVariance = min(g.slopeVariance+slopeDrift*elapsed, priorSlopeVariance)
	// The bounds must not leave a correlation above one.
	if limit := g.levelVariance * g.slopeVariance; g.covariance*g.covariance > limit {
		g.covariance = math.Copysign(math.Sqrt(limit), g.covariance)
	}
}

// correct corrects the load by its share of the difference between a measured and
// the expected load, whose variance is given.
func (g *groupLoad) correct(innovation, variance float64) {
	levelGain, slopeGain := g.levelVariance/variance, g.covariance/variance
	g.level = min(max(g.level+levelGain*innovation, 0), maxMeasurableLoad)
	g.slope += slopeGain * innovation
	g.slopeVariance -= slopeGain * g.covariance
	g.covariance *= 1 - levelGain
	g.levelVariance *= 1 - levelGain
}

// observeSpread records the difference between the load on a host, without what
// filling work adds, and the level.
func (g *groupLoad) observeSpread(difference float64) {
	excess := max(difference*difference-noiseVariance-g.levelVariance, 0)
	g.spread = min(max(g.spread+spreadWeight*(excess-g.spread), minSpread), baseLoadVariance)
}

// hostDeviation is the deviation of the base load of a group on one host.
type hostDeviation struct {
	estimate
	at cowslipbend.Time
}

// advance has the deviation revert towards zero.
func (h *hostDeviation) advance(to cowslipbend.Time, spread float64) {
	elapsed := seconds(to.Sub(h.at))
	if elapsed <= 0 {
		return
	}
	h.at = to
	drift := min(deviationDrift*elapsed, 1)
	h.mean -= h.mean * drift / 2
	h.variance = min(h.variance+drift*spread, spread)
}

// correct corrects the deviation as groupLoad.correct does.
func (h *hostDeviation) correct(innovation, variance float64) {
	gain := h.variance / variance
	h.mean += gain * innovation
	h.variance *= 1 - gain
}

// seconds returns a span in seconds.
func seconds(s cowslipbend.Span) float64 { return float64(s) / float64(cowslipbend.Second) }
