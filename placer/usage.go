package placer

import (
	"math"
	"strings"

	"cowslipbend.dev"
)

// The buckets of a histogram of used processors grow exponentially.
const (
	bucketCount      = 96
	firstBucketLimit = 10.0 // upper limit in millicores
	bucketGrowth     = 1.15 // ratio of the limits of neighbouring buckets
)

// Parameters of learned sizes.
const (
	cpuQuantile      = 0.95
	halfTrustSamples = 20.0   // samples from which a learned size weighs as much as a declared one
	usageSampleDecay = 0.999  // factor on the weight of all samples at each new one
	memPeakDecay     = 0.9998 // factor on the memory peak at each sample
	memMargin        = 1.15   // factor on the memory peak for a reservation
	maxSizeError     = 5      // factor by which declared sizes are assumed to be wrong at most
	maxClasses       = 512
	maxJobs          = 4096
	minJobSamples    = 5 // samples of a job from which they replace those of its class
)

// usageStats is the measured use of the tasks of a class or a job.
type usageStats struct {
	bucketWeights [bucketCount]float64 // decayed counts of samples
	bucketSums    [bucketCount]float64 // decayed sums of millicores
	totalWeight   float64
	memPeak       float64 // decayed, in bytes
}

func (s *usageStats) learn(u cowslipbend.Resources, unthrottled bool) {
	s.memPeak = max(s.memPeak*memPeakDecay, float64(u.Mem))
	if !unthrottled {
		return
	}
	for i := range s.bucketWeights {
		s.bucketWeights[i] *= usageSampleDecay
		s.bucketSums[i] *= usageSampleDecay
	}
	s.totalWeight = s.totalWeight*usageSampleDecay + 1
	i := bucket(float64(u.CPU))
	s.bucketWeights[i]++
	s.bucketSums[i] += float64(u.CPU)
}

func bucket(cpu float64) int {
	if cpu <= firstBucketLimit {
		return 0
	}
	return min(int(math.Ceil(math.Log(cpu/firstBucketLimit)/math.Log(bucketGrowth))), bucketCount-1)
}

// cpuAtQuantile returns the quantile of the processors used, in millicores, or 0
// without samples.
func (s *usageStats) cpuAtQuantile() float64 {
	below := 0.0
	for i, w := range s.bucketWeights {
		if below += w; below >= cpuQuantile*s.totalWeight && w > 0 {
			return s.bucketSums[i] / w
		}
	}
	return 0
}

// usageModel learns the use of tasks by class and by job.
type usageModel struct {
	classes   map[cowslipbend.Class]*usageStats
	jobs      map[string]*usageStats
	jobsByAge []string // keys of jobs, the first added first
}

func newUsageModel() usageModel {
	return usageModel{classes: map[cowslipbend.Class]*usageStats{}, jobs: map[string]*usageStats{}}
}

func jobOf(t cowslipbend.TaskID) string {
	name := string(t)
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		return name[:i]
	}
	return name
}

// unthrottledPercent is the CPU share below which a task is throttled, so that
// the processors it uses do not show its demand.
const unthrottledPercent = 100

func (m *usageModel) learn(s *cowslipbend.Sample) {
	if s.Usage.Mem == 0 && s.Usage.CPU == 0 {
		return
	}
	unthrottled := s.Usage.CPU > 0 && (s.Percent == 0 || s.Percent >= unthrottledPercent)
	c, ok := m.classes[s.Class]
	if !ok && len(m.classes) < maxClasses {
		c = &usageStats{}
		m.classes[s.Class] = c
	}
	if c != nil {
		c.learn(s.Usage, unthrottled)
	}
	m.jobStats(jobOf(s.Task)).learn(s.Usage, unthrottled)
}

// jobStats returns the use of a job, which it adds if needed. The job that was
// added first is dropped if there are too many.
func (m *usageModel) jobStats(name string) *usageStats {
	if j, ok := m.jobs[name]; ok {
		return j
	}
	if len(m.jobsByAge) >= maxJobs {
		delete(m.jobs, m.jobsByAge[0])
		m.jobsByAge = m.jobsByAge[1:]
	}
	j := &usageStats{}
	m.jobs[name] = j
	m.jobsByAge = append(m.jobsByAge, name)
	return j
}

// reserve returns the declared size corrected by measurements, by at most the
// factor maxSizeError. A service keeps at least its declared size.
func (m *usageModel) reserve(ask *cowslipbend.Ask, declared cowslipbend.Resources) cowslipbend.Resources {
	s := m.classes[ask.Class]
	if j := m.jobs[jobOf(ask.Task)]; j != nil && j.totalWeight >= minJobSamples {
		s = j
	}
	if s == nil {
		return declared
	}
	size := declared
	if cpu := s.cpuAtQuantile(); cpu > 0 {
		size.CPU = cowslipbend.Millicores(blend(float64(declared.CPU), cpu, s.totalWeight))
	}
	if s.memPeak > 0 {
		mem := blend(float64(declared.Mem), s.memPeak*memMargin, s.totalWeight)
		size.Mem = cowslipbend.Bytes(max(mem, min(s.memPeak, float64(declared.Mem)*maxSizeError)))
	}
	if ask.Service != "" {
		size.CPU, size.Mem = max(size.CPU, declared.CPU), max(size.Mem, declared.Mem)
	}
	return size
}

// blend averages a declared and a learned amount by the weight of the samples,
// within the factor maxSizeError of the declared amount.
func blend(declared, learned, weight float64) float64 {
	trust := weight / (weight + halfTrustSamples)
	v := declared*(1-trust) + learned*trust
	return min(max(v, declared/maxSizeError), declared*maxSizeError)
}
