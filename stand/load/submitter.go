package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
	"cowslipbend.dev/operator"
	"cowslipbend.dev/stand/firm"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/stand/worker"
	"cowslipbend.dev/timer"
)

// Mix selects the batch jobs that are submitted.
type Mix struct {
	// NoisyPercent is the percentage of jobs of the firm's noisy workload, which
	// interferes with services.
	NoisyPercent int
	// Misdeclared makes true sizes and run times differ from the declared ones,
	// and adds jobs that always fail and jobs that are larger than any worker.
	Misdeclared bool
	// Urgent adds a job of one urgent task each second.
	Urgent bool
}

// AcceptedJob is a job whose submission was acknowledged.
type AcceptedJob struct {
	ID     cowslipbend.JobID
	Tasks  int
	Urgent bool
	// SubmittedAt is the time of the first attempt to submit it.
	SubmittedAt judge.Moment
}

// Submitter submits batch jobs so that there are always more open tasks than
// can run at once.
type Submitter struct {
	firm              firm.Firm
	balancer          *Balancer
	clock             cowslipbend.Clock
	seed              uint64
	declarationErrors map[cowslipbend.Class]declarationError

	mu           sync.Mutex
	mix          Mix
	accepted     []AcceptedJob
	pendingTasks int // tasks of jobs not yet acknowledged
	refusedJobs  int
	openTasks    int // tasks of acknowledged jobs not yet ended, at the last count
	drawnJobs    int // jobs drawn so far, part of the seed and name of the next
	urgentJobs   int // number of the last urgent job
}

// NewSubmitter returns a submitter of jobs of the firm, which are drawn from the
// seed and submitted through the balancer.
func NewSubmitter(f firm.Firm, b *Balancer, mix Mix, seed uint64, clock cowslipbend.Clock) *Submitter {
	return &Submitter{firm: f, balancer: b, clock: clock, seed: seed, mix: mix, declarationErrors: drawErrors(f, seed)}
}

// SetMix changes the mix for the jobs that are drawn from now on.
func (s *Submitter) SetMix(change func(*Mix)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.mix)
}

const (
	operatorTimeout    = 5 * cowslipbend.Second
	submitInterval     = cowslipbend.Second / 4
	urgentInterval     = cowslipbend.Second
	retryBackoff       = cowslipbend.Second / 2
	maxConcurrentCalls = 8
	batchCPUShare      = 0.65 // share of all processors that batch may use
	backlogFactor      = 1.5  // open tasks per task that can run at once
)

// Run submits jobs until the context ends.
func (s *Submitter) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return timer.Every(ctx, s.clock, urgentInterval, func(ctx context.Context) error {
			s.submitUrgent(ctx)
			return nil
		})
	})
	g.Go(func() error { return s.keepBacklog(ctx) })
	return g.Wait()
}

// keepBacklog submits jobs whenever fewer tasks are open than the backlog needs.
func (s *Submitter) keepBacklog(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	runnableTasks := float64(s.firm.Workers) * float64(s.firm.Size.CPU) * batchCPUShare / float64(s.firm.Usual.Size.CPU)
	targetTasks := int(runnableTasks * backlogFactor)
	err := timer.Every(ctx, s.clock, submitInterval, func(ctx context.Context) error {
		s.countOpenTasks(ctx)
		for s.unendedTasks() < targetTasks && ctx.Err() == nil {
			d := s.drawJob()
			s.addPending(d.job.Tasks)
			if !g.TryGo(func() error { return s.submit(ctx, d) }) {
				s.addPending(-d.job.Tasks)
				break
			}
		}
		return nil
	})
	_ = g.Wait()
	return err
}

// unendedTasks returns the number of tasks of all jobs that are being submitted
// or are open.
func (s *Submitter) unendedTasks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openTasks + s.pendingTasks
}

func (s *Submitter) addPending(tasks int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingTasks += tasks
}

// countOpenTasks updates the number of open tasks from the system's listing. If
// the listing fails, the last number stays.
func (s *Submitter) countOpenTasks(ctx context.Context) {
	jobs, err := s.client().Jobs(ctx, s.firm.Pool)
	if err != nil {
		return
	}
	n := OpenTasks(jobs, s.Accepted())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openTasks = n
}

func (s *Submitter) client() *operator.Client {
	return operator.New(s.balancer.Next(), "", operatorTimeout)
}

func (s *Submitter) submitUrgent(ctx context.Context) {
	s.mu.Lock()
	enabled := s.mix.Urgent
	s.urgentJobs++
	n := s.urgentJobs
	s.mu.Unlock()
	if !enabled {
		return
	}
	job := s.newJob(fmt.Sprintf("urgent-%d", n), s.firm.Usual, declarationError{1, 1, 1})
	job.Urgency, job.Tasks = cowslipbend.Urgent, 1
	s.addPending(job.Tasks)
	_ = s.submit(ctx, draft{job: job})
}

// submit repeats the submission of a job until it is acknowledged or refused as
// invalid.
func (s *Submitter) submit(ctx context.Context, d draft) error {
	defer s.addPending(-d.job.Tasks)
	submittedAt := judge.Now()
	for ctx.Err() == nil {
		err := s.client().Submit(ctx, d.job)
		switch cowslipbend.KindOf(err) {
		case "":
			s.recordAccepted(d, submittedAt)
			return nil
		case cowslipbend.KindInvalid:
			s.recordRefused()
			return nil
		}
		timer.Sleep(ctx, s.clock, retryBackoff)
	}
	return nil
}

func (s *Submitter) recordAccepted(d draft, submittedAt judge.Moment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openTasks += d.job.Tasks
	s.accepted = append(s.accepted, AcceptedJob{ID: d.job.ID, Tasks: d.job.Tasks, Urgent: d.job.Urgency == cowslipbend.Urgent, SubmittedAt: submittedAt})
}

func (s *Submitter) recordRefused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedJobs++
}

// CancelEveryOther concurrently cancels every other accepted job, starting with
// the newest, up to maxCancellations.
func (s *Submitter) CancelEveryOther(ctx context.Context) {
	jobs := s.Accepted()
	var g errgroup.Group
	for i := len(jobs) - 1; i >= 0 && i > len(jobs)-2*maxCancellations; i -= 2 {
		g.Go(func() error {
			_ = s.client().Cancel(ctx, s.firm.Pool, jobs[i].ID) // Fails if the job has ended.
			return nil
		})
	}
	_ = g.Wait()
}

// maxCancellations is the most jobs that one CancelEveryOther cancels.
const maxCancellations = 20

// CancelAll cancels all accepted jobs that have not ended.
func (s *Submitter) CancelAll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for _, a := range s.Accepted() {
		g.Go(func() error {
			_ = s.client().Cancel(ctx, s.firm.Pool, a.ID) // Fails if the job has ended.
			return nil
		})
	}
	_ = g.Wait()
}

// Accepted returns the jobs accepted so far.
func (s *Submitter) Accepted() []AcceptedJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]AcceptedJob(nil), s.accepted...)
}

// Refused returns the number of jobs refused as invalid.
func (s *Submitter) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedJobs
}

// JobOutcomes returns the counts of ended tasks of each accepted job from the
// system's listing. A job that is not listed has counts of zero. Parked tasks
// count only as far as the listing gives a reason for each.
func JobOutcomes(jobs []administrator.Job, accepted []AcceptedJob) []judge.JobOutcome {
	byID := map[cowslipbend.JobID]administrator.Job{}
	for _, j := range jobs {
		byID[j.ID] = j
	}
	out := make([]judge.JobOutcome, 0, len(accepted))
	for _, a := range accepted {
		j := byID[a.ID]
		out = append(out, judge.JobOutcome{
			Job: a.ID, Tasks: a.Tasks, Finished: j.Phases[cowslipbend.Finished],
			Parked: min(j.Phases[cowslipbend.Parked], len(j.Reasons)), Cancelled: j.Phases[cowslipbend.Cancelled],
		})
	}
	return out
}

// OpenTasks counts the tasks of accepted jobs that are neither finished, parked
// with a reason, nor cancelled.
func OpenTasks(jobs []administrator.Job, accepted []AcceptedJob) int {
	n := 0
	for _, o := range JobOutcomes(jobs, accepted) {
		n += max(o.Tasks-o.Finished-o.Parked-o.Cancelled, 0)
	}
	return n
}

// declarationError holds the factors by which the true processors, memory and
// run time of a job differ from the declared ones.
type declarationError struct{ cpu, mem, length float64 }

// maxErrorFactor bounds the factors of a declarationError, in either direction.
const maxErrorFactor = 5

// drawErrors draws the declaration errors of each class of the firm.
func drawErrors(f firm.Firm, seed uint64) map[cowslipbend.Class]declarationError {
	rnd := rand.New(rand.NewPCG(seed, 4))
	drawError := func() float64 { return math.Pow(maxErrorFactor, 2*rnd.Float64()-1) }
	return map[cowslipbend.Class]declarationError{
		f.Usual.Class: {drawError(), drawError(), drawError()},
		f.Noisy.Class: {drawError(), drawError(), drawError()},
	}
}

// draft is a job that is not yet accepted.
type draft struct{ job cowslipbend.Job }

// Of a misdeclared mix, each job whose number is a multiple of failingJobPeriod
// always fails, and each whose number is a multiple of oversizedJobPeriod
// declares oversizeFactor times the size of a worker.
const (
	failingJobPeriod   = 17
	oversizedJobPeriod = 23
	lengthSpread       = 0.2 // largest relative deviation of run times within a class
	oversizeFactor     = 4
)

// drawJob draws the next job. The same seed gives the same sequence of jobs.
func (s *Submitter) drawJob() draft {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drawnJobs++
	rnd := rand.New(rand.NewPCG(s.seed, uint64(s.drawnJobs)<<8))
	workload := s.firm.Usual
	if rnd.IntN(fullPercent) < s.mix.NoisyPercent {
		workload = s.firm.Noisy
	}
	deviation := declarationError{1, 1, 1}
	if s.mix.Misdeclared {
		deviation = s.declarationErrors[workload.Class]
	}
	deviation.length *= 1 - lengthSpread + 2*lengthSpread*rnd.Float64()
	job := s.newJob(fmt.Sprintf("%s-%d", workload.Class, s.drawnJobs), workload, deviation)
	if s.mix.Misdeclared && s.drawnJobs%failingJobPeriod == 0 {
		w := worker.Work{CPU: workload.Size.CPU, Mem: workload.Size.Mem, TotalCPU: 1, AlwaysFails: true}
		job.Work, job.Tasks, job.Class, job.ID = w.String(), 1, "broken", failingPrefix+job.ID
	}
	if s.mix.Misdeclared && s.drawnJobs%oversizedJobPeriod == 0 {
		job.Size = s.firm.Size.Times(oversizeFactor)
	}
	return draft{job: job}
}

// newJob returns a job of the workload whose true resource use deviates from the
// declared one by the factors. Each task uses at most half of a worker's
// processors.
func (s *Submitter) newJob(name string, workload firm.Workload, deviation declarationError) cowslipbend.Job {
	cpu := cowslipbend.Millicores(min(float64(workload.Size.CPU)*deviation.cpu, float64(s.firm.Size.CPU)/2))
	mem := cowslipbend.Bytes(float64(workload.Size.Mem) * deviation.mem)
	total := float64(workload.Length) * deviation.length * float64(cpu) / float64(cowslipbend.Core)
	w := worker.Work{CPU: cpu, Mem: mem, TotalCPU: cowslipbend.CPUTime(total)}
	return cowslipbend.Job{
		ID: cowslipbend.JobID(name), Pool: s.firm.Pool, Team: workload.Team, Class: workload.Class,
		Tasks: workload.Tasks, Size: workload.Size, Length: workload.Length, Work: w.String(),
	}
}

// failingPrefix begins the names of jobs that fail on every worker.
const failingPrefix = "broken-"

// AlwaysFails reports whether the task belongs to a job that fails on every
// worker.
func AlwaysFails(task cowslipbend.TaskID) bool { return strings.HasPrefix(string(task), failingPrefix) }
