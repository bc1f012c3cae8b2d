package estimator_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
)

const (
	unloadedTail = 4.0  // milliseconds
	target       = 18.0 // milliseconds
)

// tailAt returns the tail latency of a task at a load.
func tailAt(load float64) float64 { return math.Round(unloadedTail / (1 - min(load, 0.99))) }

// sampledAt returns the time of a sample.
func sampledAt(i int) cowslipbend.Time { return cowslipbend.Time(i) * 500 }

// simulate feeds an estimator samples of a host whose base load varies, beside
// images with the given interference coefficients, each of which runs in a part
// of the samples.
func simulate(e *estimator.Estimator, interference map[string]float64, samples int) {
	for i := range samples {
		baseLoad := 0.42 + 0.2*math.Sin(float64(i)/3)
		sample := estimator.Sample{At: sampledAt(i)}
		load := baseLoad
		for k, image := range []string{"heavy", "light", "other"} {
			if _, ok := interference[image]; !ok || (i/(k+2))%2 == 0 {
				continue
			}
			sample.Filling = append(sample.Filling, estimator.Filling{Image: image, Share: 0.12})
			load += interference[image] * 0.12
		}
		sample.Serving = []estimator.Serving{{Image: "web", Tail: tailAt(load), Target: target}}
		e.Observe(sample)
	}
}

func TestInterference(t *testing.T) {
	t.Run("a strongly interfering image is told from weak ones while the base load varies", func(t *testing.T) {
		e := estimator.New()
		simulate(e, map[string]float64{"heavy": 3, "light": 0.2, "other": 0.1}, 120)
		assert.Assert(t, e.Interference("web", "heavy") > 2, "%f", e.Interference("web", "heavy"))
		assert.Assert(t, e.Interference("web", "light") < 1, "%f", e.Interference("web", "light"))
		assert.Assert(t, e.Interference("web", "other") < 1, "%f", e.Interference("web", "other"))
	})
	t.Run("one sample with a single filling image raises its estimate", func(t *testing.T) {
		e := estimator.New()
		e.Observe(estimator.Sample{
			Serving: []estimator.Serving{{Image: "web", Tail: 90, Target: target}}, Filling: []estimator.Filling{{Image: "heavy", Share: 0.2}},
		})
		assert.Assert(t, e.Interference("web", "heavy") > 1.5, "%f", e.Interference("web", "heavy"))
	})
	t.Run("a high load is not attributed to an image that uses little", func(t *testing.T) {
		e := estimator.New()
		before := e.Interference("web", "trace")
		for range 50 {
			e.Observe(estimator.Sample{
				Serving: []estimator.Serving{{Image: "web", Tail: 16, Target: target}}, Filling: []estimator.Filling{{Image: "trace", Share: 0.01}},
			})
		}
		assert.Equal(t, e.Interference("web", "trace"), before)
	})
	t.Run("a few seconds suffice to tell strong from weak interference while the base load varies slowly", func(t *testing.T) {
		for phase := range 8 {
			e := estimator.New()
			worst := 0.0
			for i := range 16 {
				baseLoad := 0.42 + 0.21*math.Sin(float64(i)/3.5+float64(phase))
				sample := estimator.Sample{Host: "h", At: sampledAt(i)}
				load, image := baseLoad, []string{"light", "heavy"}[i/4%2]
				if i%4 > 0 {
					sample.Filling = []estimator.Filling{{Image: image, Share: 0.11}}
					load += map[string]float64{"light": 0.3, "heavy": 2.5}[image] * 0.11
				}
				sample.Serving = []estimator.Serving{{Image: "web", Group: "a", Tail: tailAt(load), Target: target}}
				e.Observe(sample)
			}
			worst = max(worst, e.Interference("web", "light"), 2.5-e.Interference("web", "heavy"))
			assert.Assert(t, worst < 1, "phase %d: light %.2f heavy %.2f", phase, e.Interference("web", "light"), e.Interference("web", "heavy"))
		}
	})
	t.Run("the base load of a host is estimated", func(t *testing.T) {
		e := estimator.New()
		assert.Equal(t, e.BaseLoad("h", "web", 0), e.BaseLoad("other", "web", 0))
		last := sampledAt(3)
		for i := range 4 {
			e.Observe(estimator.Sample{Host: "h", At: sampledAt(i), Serving: []estimator.Serving{
				{Image: "web", Group: "idle", Tail: tailAt(0.2), Target: target}, {Image: "web", Group: "busy", Tail: tailAt(0.6), Target: target},
			}})
		}
		assert.Assert(t, math.Abs(e.BaseLoad("h", "web", last)-0.6) < 0.1, "%f", e.BaseLoad("h", "web", last))
		prior := e.BaseLoad("other", "web", last)
		e.ForgetHost("h")
		assert.Equal(t, e.BaseLoad("h", "web", last), prior)
	})
	t.Run("estimates stay within their bounds", func(t *testing.T) {
		e := estimator.New()
		for i := range 200 {
			e.Observe(estimator.Sample{
				Serving: []estimator.Serving{{Image: "web", Tail: float64(1 + i%2*100000), Target: target}},
				Filling: []estimator.Filling{{Image: "x", Share: 0.03}, {Image: "y", Share: 2}},
			})
			for _, image := range []string{"x", "y"} {
				coefficient := e.Interference("web", image)
				assert.Assert(t, coefficient >= 0 && coefficient <= 12, "%f", coefficient)
			}
		}
	})
	t.Run("only estimates that have changed are published again", func(t *testing.T) {
		e := estimator.New()
		simulate(e, map[string]float64{"heavy": 3}, 60)
		version := e.Version()
		all := e.PairsSince("web", 0)
		assert.Equal(t, len(all), 1)
		assert.Assert(t, math.Abs(all[0].Interference-e.Interference("web", "heavy")) < 0.11, "published %f, current %f", all[0].Interference, e.Interference("web", "heavy"))
		assert.Equal(t, len(e.PairsSince("web", version)), 0)
		assert.Equal(t, len(e.PairsSince("other", 0)), 0)
		e.Observe(estimator.Sample{
			Serving: []estimator.Serving{{Image: "web", Tail: 90, Target: target}}, Filling: []estimator.Filling{{Image: "new", Share: 0.2}},
		})
		changed := e.PairsSince("web", version)
		assert.Equal(t, len(changed), 1)
		assert.Equal(t, changed[0].Filling, "new")
	})
	t.Run("estimates can be copied to another estimator", func(t *testing.T) {
		source, receiver := estimator.New(), estimator.New()
		simulate(source, map[string]float64{"heavy": 3}, 60)
		receiver.UpdatePairs(source.Pairs(func(string) bool { return true }))
		assert.Equal(t, source.Interference("web", "heavy"), receiver.Interference("web", "heavy"))
		assert.DeepEqual(t, source.Pairs(func(s string) bool { return s == "none" }), []cowslipbend.ImagePair(nil))
	})
}

func assertNear(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < tolerance, "%f, want %f", got, want)
}

// TestGroup checks what the hosts of a group of serving tasks tell about each other.
func TestGroup(t *testing.T) {
	swing := func(i int) float64 { return 0.42 + 0.21*math.Sin(float64(i)/4.5) }
	observe := func(e *estimator.Estimator, host string, i int, load float64, fillings ...estimator.Filling) {
		e.Observe(estimator.Sample{Host: host, At: sampledAt(i), Filling: fillings, Serving: []estimator.Serving{
			{Image: "web", Group: "a", Tail: tailAt(load), Target: target},
		}})
	}
	t.Run("load that rises on all hosts is not attributed to what has begun on one", func(t *testing.T) {
		e := estimator.New()
		for i := range 12 {
			observe(e, "clean", i, swing(i))
			observe(e, "other", i, swing(i))
			if i < 6 {
				observe(e, "filled", i, swing(i))
			} else {
				observe(e, "filled", i, swing(i)+0.1*0.11, estimator.Filling{Image: "light", Share: 0.11})
			}
		}
		assert.Assert(t, e.Interference("web", "light") < 0.5, "%f", e.Interference("web", "light"))
	})
	t.Run("two samples suffice to find strong interference while the load falls", func(t *testing.T) {
		e := estimator.New()
		for i := 8; i < 16; i++ {
			observe(e, "clean", i, swing(i))
			observe(e, "other", i, swing(i))
			if i < 14 {
				observe(e, "filled", i, swing(i))
			} else {
				observe(e, "filled", i, swing(i)+2.8*0.11, estimator.Filling{Image: "heavy", Share: 0.11})
			}
		}
		assert.Assert(t, e.Interference("web", "heavy") > 1.8, "%f", e.Interference("web", "heavy"))
	})
	t.Run("hosts that differ keep loads of their own", func(t *testing.T) {
		e := estimator.New()
		for i := range 20 {
			observe(e, "idle", i, 0.25)
			observe(e, "busy", i, 0.6)
		}
		for host, want := range map[string]float64{"idle": 0.25, "busy": 0.6} {
			assertNear(t, e.BaseLoad(host, "web", sampledAt(19)), want, 0.1)
		}
	})
	t.Run("a load that rises is expected to go on rising for a second", func(t *testing.T) {
		e := estimator.New()
		last := 0
		for i := 20; i < 27; i++ {
			observe(e, "h", i, swing(i))
			observe(e, "other", i, swing(i))
			last = i
		}
		assertNear(t, e.BaseLoad("h", "web", sampledAt(last+2)), swing(last+2), 0.07)
	})
	t.Run("a group that no host has any more is forgotten", func(t *testing.T) {
		e := estimator.New()
		for i := range 8 {
			observe(e, "h", i, 0.7)
		}
		e.ForgetHost("h")
		observe(e, "h", 9, 0.3)
		fresh := estimator.New()
		observe(fresh, "h", 9, 0.3)
		assert.Equal(t, e.BaseLoad("h", "web", sampledAt(9)), fresh.BaseLoad("h", "web", sampledAt(9)))
	})
	t.Run("after a pause nothing is expected of the load before it", func(t *testing.T) {
		e := estimator.New()
		prior := e.BaseLoad("h", "web", 0)
		for i := range 8 {
			observe(e, "h", i, 0.7)
		}
		assertNear(t, e.BaseLoad("h", "web", sampledAt(60)), prior, 0.15)
	})
}
