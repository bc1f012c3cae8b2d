package placer

import (
	"math"
	"strings"

	"cowslipbend.dev"
)

// The histogram of a sizing has buckets that grow by a factor.
const (
	buckets     = 96
	firstBucket = 10.0 // millicores
	growth      = 1.15
)

// Terms of learned sizes.
const (
	quantile   = 0.95
	halfTrust  = 20.0   // samples at which declared and learned weigh the same
	fade       = 0.999  // weight of a sample after one more
	peakFade   = 0.9998 // of the memory peak at each sample
	memMargin  = 1.15
	wrong      = 5 // declared sizes are off by at most this factor
	maxClasses = 512
	maxJobs    = 4096
	enoughJob  = 5 // samples of a job that outweigh those of its class
)

// sizing is what the tasks of a class or a job were measured to use.
type sizing struct {
	cpu    [buckets]float64 // weights of the samples
	sum    [buckets]float64 // weighted millicores
	weight float64
	peak   float64 // bytes
}

func (s *sizing) learn(u cowslipbend.Resources, whole bool) {
	s.peak = max(s.peak*peakFade, float64(u.Mem))
	if !whole {
		return
	}
	for i := range s.cpu {
		s.cpu[i] *= fade
		s.sum[i] *= fade
	}
	s.weight = s.weight*fade + 1
	i := bucket(float64(u.CPU))
	s.cpu[i]++
	s.sum[i] += float64(u.CPU)
}

func bucket(cpu float64) int {
	if cpu <= firstBucket {
		return 0
	}
	return min(int(math.Ceil(math.Log(cpu/firstBucket)/math.Log(growth))), buckets-1)
}

// high returns the quantile of the processors used, in millicores.
func (s *sizing) high() float64 {
	below := 0.0
	for i, w := range s.cpu {
		if below += w; below >= quantile*s.weight && w > 0 {
			return s.sum[i] / w
		}
	}
	return 0
}

// sizes learns what tasks use, by class and by job.
type sizes struct {
	classes map[cowslipbend.Class]*sizing
	jobs    map[string]*sizing
	order   []string // jobs, oldest first
}

func newSizes() sizes {
	return sizes{classes: map[cowslipbend.Class]*sizing{}, jobs: map[string]*sizing{}}
}

func jobOf(t cowslipbend.TaskID) string {
	name := string(t)
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		return name[:i]
	}
	return name
}

// throttled is the percentage below which the processors used tell nothing of
// what a task wants.
const throttled = 100

func (z *sizes) learn(s *cowslipbend.Sample) {
	if s.Usage.Mem == 0 && s.Usage.CPU == 0 {
		return
	}
	whole := s.Usage.CPU > 0 && (s.Percent == 0 || s.Percent >= throttled)
	c, ok := z.classes[s.Class]
	if !ok && len(z.classes) < maxClasses {
		c = &sizing{}
		z.classes[s.Class] = c
	}
	if c != nil {
		c.learn(s.Usage, whole)
	}
	z.job(jobOf(s.Task)).learn(s.Usage, whole)
}

// job returns the sizing of a job, forgetting the oldest beyond the bound.
func (z *sizes) job(name string) *sizing {
	if j, ok := z.jobs[name]; ok {
		return j
	}
	if len(z.order) >= maxJobs {
		delete(z.jobs, z.order[0])
		z.order = z.order[1:]
	}
	j := &sizing{}
	z.jobs[name] = j
	z.order = append(z.order, name)
	return j
}

// reserve corrects a declared size as far as measurements bear it out, and
// never by more than sizes are wrong.
func (z *sizes) reserve(ask *cowslipbend.Ask, declared cowslipbend.Resources) cowslipbend.Resources {
	s := z.classes[ask.Class]
	if j := z.jobs[jobOf(ask.Task)]; j != nil && j.weight >= enoughJob {
		s = j
	}
	if s == nil {
		return declared
	}
	size := declared
	if cpu := s.high(); cpu > 0 {
		size.CPU = cowslipbend.Millicores(correct(float64(declared.CPU), cpu, s.weight))
	}
	if s.peak > 0 {
		mem := correct(float64(declared.Mem), s.peak*memMargin, s.weight)
		size.Mem = cowslipbend.Bytes(max(mem, min(s.peak, float64(declared.Mem)*wrong)))
	}
	if ask.Service != "" {
		size.CPU, size.Mem = max(size.CPU, declared.CPU), max(size.Mem, declared.Mem)
	}
	return size
}

// correct blends a declared and a learned amount by the weight of the samples.
func correct(declared, learned, weight float64) float64 {
	trust := weight / (weight + halfTrust)
	v := declared*(1-trust) + learned*trust
	return min(max(v, declared/wrong), declared*wrong)
}
