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

// Mix says what batch is submitted.
type Mix struct {
	// Noisy is the share of jobs of the noisy kind, in percent.
	Noisy int
	// Misdeclared makes sizes and run times differ from what is declared, and
	// adds jobs that fail always or fit nowhere.
	Misdeclared bool
	// Urgent submits a small urgent job each second.
	Urgent bool
}

// Accepted is a job whose submission was acknowledged.
type Accepted struct {
	ID     cowslipbend.JobID
	Tasks  int
	Urgent bool
	// Asked is the moment of its first submission.
	Asked judge.Moment
}

// Batch submits jobs so that a backlog waits all the time.
type Batch struct {
	firm     firm.Firm
	balancer *Balancer
	clock    cowslipbend.Clock
	seed     uint64
	factors  map[cowslipbend.Class]factor

	mu       sync.Mutex
	mix      Mix
	accepted []Accepted
	pending  int // tasks of jobs not yet acknowledged
	refused  int
	open     int // tasks of acknowledged jobs not yet ended, at the last look
	n        int
	urgents  int
}

// NewBatch returns a submitter that has submitted nothing.
func NewBatch(f firm.Firm, b *Balancer, mix Mix, seed uint64, clock cowslipbend.Clock) *Batch {
	return &Batch{firm: f, balancer: b, clock: clock, seed: seed, mix: mix, factors: drawFactors(f, seed)}
}

// SetMix changes what is submitted from now on.
func (b *Batch) SetMix(change func(*Mix)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.mix)
}

// Times and bounds of a submitter.
const (
	opTimeout     = 5 * cowslipbend.Second
	submitPeriod  = cowslipbend.Second / 4
	urgentPeriod  = cowslipbend.Second
	retryPause    = cowslipbend.Second / 2
	maxSubmitting = 8
	roomShare     = 0.65 // of all processors that is room for batch
	backlog       = 1.5  // tasks submitted per task that the room holds
)

// Run submits until the context ends.
func (b *Batch) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return timer.Every(ctx, b.clock, urgentPeriod, func(ctx context.Context) error {
			b.urgent(ctx)
			return nil
		})
	})
	g.Go(func() error { return b.feed(ctx) })
	return g.Wait()
}

// feed keeps the backlog.
func (b *Batch) feed(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxSubmitting)
	room := float64(b.firm.Workers) * float64(b.firm.Size.CPU) * roomShare / float64(b.firm.Usual.Size.CPU)
	target := int(room * backlog)
	err := timer.Every(ctx, b.clock, submitPeriod, func(ctx context.Context) error {
		b.look(ctx)
		for b.waiting() < target && ctx.Err() == nil {
			d := b.draw()
			b.hold(d.job.Tasks)
			if !g.TryGo(func() error { return b.send(ctx, d) }) {
				b.hold(-d.job.Tasks)
				break
			}
		}
		return nil
	})
	_ = g.Wait()
	return err
}

func (b *Batch) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open + b.pending
}

func (b *Batch) hold(tasks int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending += tasks
}

// look counts what is open. Without an answer the last count stands.
func (b *Batch) look(ctx context.Context) {
	jobs, err := b.client().Jobs(ctx, b.firm.Pool)
	if err != nil {
		return
	}
	n := Open(jobs, b.Accepted())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open = n
}

func (b *Batch) client() *operator.Client { return operator.New(b.balancer.Next(), "", opTimeout) }

func (b *Batch) urgent(ctx context.Context) {
	b.mu.Lock()
	wanted := b.mix.Urgent
	b.urgents++
	n := b.urgents
	b.mu.Unlock()
	if !wanted {
		return
	}
	job := b.job(fmt.Sprintf("urgent-%d", n), b.firm.Usual, factor{1, 1, 1})
	job.Urgency, job.Tasks = cowslipbend.Urgent, 1
	b.hold(job.Tasks)
	_ = b.send(ctx, draft{job: job})
}

// send submits a job until it is acknowledged or refused for good.
func (b *Batch) send(ctx context.Context, d draft) error {
	defer b.hold(-d.job.Tasks)
	asked := judge.Now()
	for ctx.Err() == nil {
		err := b.client().Submit(ctx, d.job)
		switch cowslipbend.KindOf(err) {
		case "":
			b.accept(d, asked)
			return nil
		case cowslipbend.KindInvalid:
			b.refuse()
			return nil
		}
		timer.Sleep(ctx, b.clock, retryPause)
	}
	return nil
}

func (b *Batch) accept(d draft, asked judge.Moment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open += d.job.Tasks
	b.accepted = append(b.accepted, Accepted{ID: d.job.ID, Tasks: d.job.Tasks, Urgent: d.job.Urgency == cowslipbend.Urgent, Asked: asked})
}

func (b *Batch) refuse() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
}

// CancelHalf cancels every other accepted job, the newest first, up to a
// bound, all at once.
func (b *Batch) CancelHalf(ctx context.Context) {
	jobs := b.Accepted()
	var g errgroup.Group
	for i := len(jobs) - 1; i >= 0 && i > len(jobs)-2*maxCancel; i -= 2 {
		g.Go(func() error {
			_ = b.client().Cancel(ctx, b.firm.Pool, jobs[i].ID) // One that has ended is no matter.
			return nil
		})
	}
	_ = g.Wait()
}

// maxCancel bounds one wave of cancellations.
const maxCancel = 20

// CancelAll cancels all accepted jobs, as far as they have not ended.
func (b *Batch) CancelAll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxSubmitting)
	for _, a := range b.Accepted() {
		g.Go(func() error {
			_ = b.client().Cancel(ctx, b.firm.Pool, a.ID) // One that has ended is no matter.
			return nil
		})
	}
	_ = g.Wait()
}

// Accepted returns the accepted jobs.
func (b *Batch) Accepted() []Accepted {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Accepted(nil), b.accepted...)
}

// Refused returns the count of jobs refused for good.
func (b *Batch) Refused() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Outcomes joins accepted jobs with the system's listing. A job that is not
// listed has no outcome.
func Outcomes(jobs []administrator.Job, accepted []Accepted) []judge.Outcome {
	byID := map[cowslipbend.JobID]administrator.Job{}
	for _, j := range jobs {
		byID[j.ID] = j
	}
	out := make([]judge.Outcome, 0, len(accepted))
	for _, a := range accepted {
		j := byID[a.ID]
		out = append(out, judge.Outcome{
			Job: a.ID, Tasks: a.Tasks, Finished: j.Phases[cowslipbend.Finished],
			Parked: min(j.Phases[cowslipbend.Parked], len(j.Reasons)), Cancelled: j.Phases[cowslipbend.Cancelled],
		})
	}
	return out
}

// Open counts the accepted tasks that are neither finished nor set aside.
func Open(jobs []administrator.Job, accepted []Accepted) int {
	n := 0
	for _, o := range Outcomes(jobs, accepted) {
		n += max(o.Tasks-o.Finished-o.Parked-o.Cancelled, 0)
	}
	return n
}

// factor is how far the truth is from what is declared.
type factor struct{ cpu, mem, length float64 }

// maxFactor is the largest error of a declaration, in either direction.
const maxFactor = 5

// drawFactors draws the errors of each class.
func drawFactors(f firm.Firm, seed uint64) map[cowslipbend.Class]factor {
	rnd := rand.New(rand.NewPCG(seed, 4))
	off := func() float64 { return math.Pow(maxFactor, 2*rnd.Float64()-1) }
	return map[cowslipbend.Class]factor{
		f.Usual.Class: {off(), off(), off()},
		f.Noisy.Class: {off(), off(), off()},
	}
}

// draft is a job to be submitted.
type draft struct{ job cowslipbend.Job }

// Every so many jobs of a misdeclared mix one fails always or fits nowhere.
const (
	failEvery   = 17
	hugeEvery   = 23
	spread      = 0.2 // of the true sizes of one class
	sizeOfTasks = 4
)

// draw makes the next job. The same seed gives the same jobs.
func (b *Batch) draw() draft {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.n++
	rnd := rand.New(rand.NewPCG(b.seed, uint64(b.n)<<8))
	kind := b.firm.Usual
	if rnd.IntN(percent) < b.mix.Noisy {
		kind = b.firm.Noisy
	}
	truth := factor{1, 1, 1}
	if b.mix.Misdeclared {
		truth = b.factors[kind.Class]
	}
	truth.length *= 1 - spread + 2*spread*rnd.Float64()
	job := b.job(fmt.Sprintf("%s-%d", kind.Class, b.n), kind, truth)
	if b.mix.Misdeclared && b.n%failEvery == 0 {
		w := worker.Work{CPU: kind.Size.CPU, Mem: kind.Size.Mem, Total: 1, Fail: true}
		job.Work, job.Tasks, job.Class, job.ID = w.String(), 1, "broken", brokenPrefix+job.ID
	}
	if b.mix.Misdeclared && b.n%hugeEvery == 0 {
		job.Size = b.firm.Size.Times(sizeOfTasks)
	}
	return draft{job: job}
}

// job returns a job of the kind whose truth differs by the factor.
func (b *Batch) job(name string, kind firm.Workload, truth factor) cowslipbend.Job {
	cpu := cowslipbend.Millicores(min(float64(kind.Size.CPU)*truth.cpu, float64(b.firm.Size.CPU)/2))
	mem := cowslipbend.Bytes(float64(kind.Size.Mem) * truth.mem)
	total := float64(kind.Length) * truth.length * float64(cpu) / float64(cowslipbend.Core)
	w := worker.Work{CPU: cpu, Mem: mem, Total: cowslipbend.CPUTime(total)}
	return cowslipbend.Job{
		ID: cowslipbend.JobID(name), Pool: b.firm.Pool, Team: kind.Team, Class: kind.Class,
		Tasks: kind.Tasks, Size: kind.Size, Length: kind.Length, Work: w.String(),
	}
}

// brokenPrefix stands before the names of jobs that fail anywhere.
const brokenPrefix = "broken-"

// Broken reports whether the task is of a job that fails anywhere.
func Broken(task cowslipbend.TaskID) bool { return strings.HasPrefix(string(task), brokenPrefix) }
