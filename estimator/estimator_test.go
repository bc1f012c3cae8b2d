package estimator_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
)

const (
	base   = 4.0  // milliseconds, the tail of a task without load
	target = 18.0 // milliseconds
)

// tail is that of a task whose time is taken by the load.
func tail(load float64) float64 { return math.Round(base / (1 - min(load, 0.99))) }

// play shows an estimator hosts whose serving tasks swing, beside images with
// these presses, each of which uses shares of the hosts in turn.
func play(b *estimator.Estimator, presses map[string]float64, moments int) {
	for i := range moments {
		own := 0.42 + 0.2*math.Sin(float64(i)/3)
		scene := estimator.Scene{}
		load := own
		for k, image := range []string{"heavy", "light", "other"} {
			if _, ok := presses[image]; !ok || (i/(k+2))%2 == 0 {
				continue
			}
			scene.Filling = append(scene.Filling, estimator.Filling{Image: image, Share: 0.12})
			load += presses[image] * 0.12
		}
		scene.Serving = []estimator.Serving{{Image: "web", Tail: tail(load), Target: target}}
		b.Observe(scene)
	}
}

func TestPress(t *testing.T) {
	t.Run("a heavy image is told from light ones among swings", func(t *testing.T) {
		b := estimator.New()
		play(b, map[string]float64{"heavy": 3, "light": 0.2, "other": 0.1}, 120)
		assert.Assert(t, b.Press("web", "heavy") > 2, "%f", b.Press("web", "heavy"))
		assert.Assert(t, b.Press("web", "light") < 1, "%f", b.Press("web", "light"))
		assert.Assert(t, b.Press("web", "other") < 1, "%f", b.Press("web", "other"))
	})
	t.Run("one moment with one suspect is enough to be careful", func(t *testing.T) {
		b := estimator.New()
		b.Observe(estimator.Scene{
			Serving: []estimator.Serving{{Image: "web", Tail: 90, Target: target}}, Filling: []estimator.Filling{{Image: "heavy", Share: 0.2}},
		})
		assert.Assert(t, b.Press("web", "heavy") > 1.5, "%f", b.Press("web", "heavy"))
	})
	t.Run("swings alone are not blamed on a trace of work", func(t *testing.T) {
		b := estimator.New()
		before := b.Press("web", "trace")
		for range 50 {
			b.Observe(estimator.Scene{
				Serving: []estimator.Serving{{Image: "web", Tail: 16, Target: target}}, Filling: []estimator.Filling{{Image: "trace", Share: 0.01}},
			})
		}
		assert.Equal(t, b.Press("web", "trace"), before)
	})
	t.Run("a few seconds tell heavy from light beside a slow swing", func(t *testing.T) {
		for phase := range 8 {
			b := estimator.New()
			worst := 0.0
			for i := range 16 {
				own := 0.42 + 0.21*math.Sin(float64(i)/3.5+float64(phase))
				scene := estimator.Scene{Host: "h"}
				load, image := own, []string{"light", "heavy"}[i/4%2]
				if i%4 > 0 {
					scene.Filling = []estimator.Filling{{Image: image, Share: 0.11}}
					load += map[string]float64{"light": 0.3, "heavy": 2.5}[image] * 0.11
				}
				scene.Serving = []estimator.Serving{{Image: "web", Group: "a", Tail: tail(load), Target: target}}
				b.Observe(scene)
			}
			worst = max(worst, b.Press("web", "light"), 2.5-b.Press("web", "heavy"))
			assert.Assert(t, worst < 1, "phase %d: light %.2f heavy %.2f", phase, b.Press("web", "light"), b.Press("web", "heavy"))
		}
	})
	t.Run("the own load of a host is followed", func(t *testing.T) {
		b := estimator.New()
		assert.Equal(t, b.Own("h", "web"), b.Own("other", "web"))
		for range 4 {
			b.Observe(estimator.Scene{Host: "h", Serving: []estimator.Serving{
				{Image: "web", Group: "calm", Tail: tail(0.2), Target: target}, {Image: "web", Group: "busy", Tail: tail(0.6), Target: target},
			}})
		}
		assert.Assert(t, math.Abs(b.Own("h", "web")-0.6) < 0.1, "%f", b.Own("h", "web"))
		usual := b.Own("other", "web")
		b.Forget("h")
		assert.Equal(t, b.Own("h", "web"), usual)
	})
	t.Run("no estimate leaves its bounds", func(t *testing.T) {
		b := estimator.New()
		for i := range 200 {
			b.Observe(estimator.Scene{
				Serving: []estimator.Serving{{Image: "web", Tail: float64(1 + i%2*100000), Target: target}},
				Filling: []estimator.Filling{{Image: "x", Share: 0.03}, {Image: "y", Share: 2}},
			})
			for _, image := range []string{"x", "y"} {
				press := b.Press("web", image)
				assert.Assert(t, press >= 0 && press <= 12, "%f", press)
			}
		}
	})
	t.Run("estimates travel", func(t *testing.T) {
		a, b := estimator.New(), estimator.New()
		play(a, map[string]float64{"heavy": 3}, 60)
		b.Adopt(a.Pairs(func(string) bool { return true }))
		assert.Equal(t, a.Press("web", "heavy"), b.Press("web", "heavy"))
		assert.DeepEqual(t, a.Pairs(func(s string) bool { return s == "none" }), []cowslipbend.ImagePair(nil))
	})
}
