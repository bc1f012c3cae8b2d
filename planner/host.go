package planner

import (
	"slices"

	"cowslipbend.dev"
	"cowslipbend.dev/predictor"
	"cowslipbend.dev/reserver"
)

// stepKey identifies a step of a round.
type stepKey struct {
	job   cowslipbend.JobID
	round int
	step  int
}

func keyOf(t cowslipbend.TaskRef) stepKey { return stepKey{t.Job, t.Round, t.Step} }

// placement is a run on a host.
type placement struct {
	def *cowslipbend.Step
	// orderedAt is when the start was committed and so may be sent; zero
	// before.
	orderedAt cowslipbend.Time
	// confirmed is set once the host has reported that the run has started.
	confirmed bool
	// confirmedAt is when this owner first heard of the start; zero before.
	confirmedAt cowslipbend.Time
	// tried is set while the run keeps runs of other flows from the host.
	tried bool
	// stopOrderedAt is when the stop was last ordered. missingSince is when the
	// run was first missing from the lists of the host; zero if it is listed.
	stopOrderedAt cowslipbend.Time
	missingSince  cowslipbend.Time
	// inherited is set if an earlier owner ordered the run.
	inherited bool
	// percent and tailOrCPU are Percent and TailOrCPU of the last report.
	percent   int
	tailOrCPU int64
	// slowSince is since when a filling run has used little of its processors;
	// zero if it does not. moving is set once the run is to be stopped and
	// started on another host.
	slowSince cowslipbend.Time
	moving    bool
	// workingSince is since when the lists show that a lasting run works; zero if they
	// don't.
	workingSince cowslipbend.Time
	// progressedAt is when percent last changed.
	progressedAt cowslipbend.Time
	// savedAt is when the run was first seen with its newest checkpoint; zero
	// without one.
	savedAt cowslipbend.Time
	// demand is the processors that a filling run is expected to use if it is
	// not slowed, and zero for other runs. It is the declared amount until
	// there are minSamples samples of the use. peakCPU is the highest sample.
	demand  cowslipbend.Millicores
	peakCPU cowslipbend.Millicores
	samples int
	// track follows the progress of a run that ends by itself.
	track predictor.Track
	// expectedLength is the length that was expected when it started; zero if it
	// was not seen to start.
	expectedLength cowslipbend.Span
	// progress is the progress by the times of the host's lists.
	progress runProgress
	// standsOut is set once the run has stood out from its step.
	standsOut bool
}

// servingImage sums up the serving runs of one image on a host.
type servingImage struct {
	image      string
	count      int
	tailTarget cowslipbend.Span
	// headroom is the load that they can take from further filling runs. It is as
	// of headroomAt; zero if it is not known.
	headroom   float64
	headroomAt cowslipbend.Time
}

// grant is the lease that was granted last.
type grant struct {
	// report is the number of the report that it answers, zero if no lease was granted to
	// the current incarnation of the agent.
	report int64
	at     cowslipbend.Time
}

// host is one incarnation of a runner.
type host struct {
	life cowslipbend.Incarnation
	url  string
	spec cowslipbend.HostSpec
	// reported is set once its agent has reported it in this epoch, fenced once
	// the runner refuses calls of earlier epochs.
	reported bool
	fenced   bool
	// lost is set while the incarnation has ended, and starts that it did not answer may
	// still be carried out by the next one.
	lost         bool
	lastReportAt cowslipbend.Time
	// leaseEnd is when its last lease has certainly ended, on the clock of this
	// process.
	leaseEnd cowslipbend.Time
	grant    grant
	// The ends of runs are numbered. appliedThrough is the number of the last
	// end that was applied, decidedThrough of the last one that a decision
	// includes, ackedThrough of the last one that is committed.
	appliedThrough int64
	decidedThrough int64
	ackedThrough   int64
	runs           map[cowslipbend.RunRef]*placement
	reserved       cowslipbend.Resources
	// fillingDemand sums the demands of the filling runs.
	fillingDemand cowslipbend.Millicores
	// servingCount counts the runs with a latency target, and servingCPU sums
	// the processors that they reserve.
	servingCount int
	servingCPU   cowslipbend.Millicores
	// stepRuns counts the runs by step.
	stepRuns map[stepKey]int
	// backoffUntil is until when the host gets no new runs after it refused one
	// or orders to it were not sent.
	backoffUntil cowslipbend.Time
	health       health
	// coldUntil is until when the host is slow after a start; cold limits the
	// starts meanwhile and is nil if they are not limited.
	coldUntil cowslipbend.Time
	cold      *coldStarts
	// grade is how fast it works.
	grade hostGrade
	// observedAt is when the estimator last observed the host.
	observedAt cowslipbend.Time
	// servingImages holds the serving runs by image, in the order in which the
	// images came; imageDemands holds the demands of the filling runs by image.
	servingImages []servingImage
	imageDemands  map[string]cowslipbend.Millicores
	// reservation keeps room for a large task that waits, if any.
	reservation *reserver.Reservation
	// trial tells whether the host is closed to other flows, as it tries tasks of one.
	trial hostTrial
}

func newHost(life cowslipbend.Incarnation) *host {
	return &host{
		life: life, runs: map[cowslipbend.RunRef]*placement{}, stepRuns: map[stepKey]int{},
		imageDemands: map[string]cowslipbend.Millicores{},
	}
}

// addRun adds a run and reserves its resources. The step is nil if the run is
// of an unknown flow.
func (h *host) addRun(ref cowslipbend.RunRef, def *cowslipbend.Step) *placement {
	if pl := h.runs[ref]; pl != nil {
		return pl
	}
	pl := &placement{def: def}
	if def != nil && def.Fills {
		pl.demand = def.Size.CPU
	}
	h.runs[ref] = pl
	h.adjust(ref, def, 1)
	h.addDemand(def, pl.demand)
	return pl
}

// removeRun removes a run and releases its resources.
func (h *host) removeRun(ref cowslipbend.RunRef) {
	if pl := h.runs[ref]; pl != nil {
		delete(h.runs, ref)
		h.endTrial(pl)
		h.adjust(ref, pl.def, -1)
		h.addDemand(pl.def, -pl.demand)
	}
}

// addDemand adds to the demand of the filling runs of an image. A negative
// amount reduces it.
func (h *host) addDemand(def *cowslipbend.Step, by cowslipbend.Millicores) {
	if by == 0 {
		return
	}
	h.fillingDemand += by
	h.forgetHeadroom()
	if h.imageDemands[def.Image] += by; h.imageDemands[def.Image] == 0 {
		delete(h.imageDemands, def.Image)
	}
}

// Limits of the estimated demand of filling runs. Many declare more processors
// than they ever use.
const (
	// minSamples is how many samples of its use a run must have: the first one
	// covers part of its start.
	minSamples = 2
	// minDemandPercent is the lower bound of the demand, in per cent of the
	// declared processors: a paced run uses less than it could.
	minDemandPercent = 60
)

// updateDemand updates the demand of a filling run from the processors in use.
func (h *host) updateDemand(pl *placement, used cowslipbend.Millicores) {
	if pl.demand == 0 || used <= 0 {
		return
	}
	pl.samples++
	pl.peakCPU = max(pl.peakCPU, used)
	if pl.samples < minSamples {
		return
	}
	declared := pl.def.Size.CPU
	demand := min(max(pl.peakCPU, declared*minDemandPercent/100), declared)
	h.addDemand(pl.def, demand-pl.demand)
	pl.demand = demand
}

// adjust adds a run to the sums of the host if by is 1, and removes it if by is
// -1.
func (h *host) adjust(ref cowslipbend.RunRef, def *cowslipbend.Step, by int64) {
	if def == nil {
		return
	}
	h.reserved = h.reserved.Plus(def.Reserved().Times(by))
	if def.TailTarget > 0 {
		h.servingCount += int(by)
		h.servingCPU += def.Size.CPU * cowslipbend.Millicores(by)
	}
	if def.TailTarget > 0 {
		h.adjustServing(def, int(by))
	}
	key := keyOf(ref.Task)
	if h.stepRuns[key] += int(by); h.stepRuns[key] == 0 {
		delete(h.stepRuns, key)
	}
}

// adjustServing adds to the number of serving runs of the step's image.
func (h *host) adjustServing(def *cowslipbend.Step, by int) {
	i := slices.IndexFunc(h.servingImages, func(s servingImage) bool { return s.image == def.Image })
	if i < 0 {
		i = len(h.servingImages)
		h.servingImages = append(h.servingImages, servingImage{image: def.Image})
	}
	s := &h.servingImages[i]
	if s.count, s.tailTarget = s.count+by, def.TailTarget; s.count == 0 {
		h.servingImages = slices.Delete(h.servingImages, i, i+1)
	}
}

// servingCountOf returns the number of serving runs of the image.
func (h *host) servingCountOf(image string) int {
	for i := range h.servingImages {
		if h.servingImages[i].image == image {
			return h.servingImages[i].count
		}
	}
	return 0
}

// forgetHeadroom has the headroom computed anew.
func (h *host) forgetHeadroom() {
	for i := range h.servingImages {
		h.servingImages[i].headroomAt = 0
	}
}

// usable reports whether new runs may be placed on the host.
func (h *host) usable(now cowslipbend.Time) bool {
	return h.reachable(now) && !h.health.banned(now)
}

// reachable reports whether the host can start new runs. Before this owner has granted a
// lease to the agent, it could not tell when starts are void.
func (h *host) reachable(now cowslipbend.Time) bool {
	return h.reported && h.fenced && h.grant.report > 0 && !h.spec.Draining && now.Sub(h.lastReportAt) < reportTimeout && now >= h.backoffUntil && h.leaseEnd > now
}

// free returns the resources that are not reserved.
func (h *host) free() cowslipbend.Resources { return h.spec.Size.Minus(h.reserved) }

// servingUsePercent is the share of their reservation that serving runs are
// expected to use: they are sized for their peaks.
const servingUsePercent = 50

// idleCPU returns the processors that the runs are expected to leave unused.
func (h *host) idleCPU() cowslipbend.Millicores {
	return h.spec.Size.CPU - h.reserved.CPU + h.servingCPU*(100-servingUsePercent)/100 - h.fillingDemand
}
