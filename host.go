package cowslipbend

import (
	"context"
	"hash/fnv"
)

// RunRef names one run of a task.
type RunRef struct {
	Task TaskRef `json:"task"`
	Run  Attempt `json:"run"`
}

// HostSpec describes a host, as one incarnation of its runner announced it.
type HostSpec struct {
	// Life is the incarnation of the runner; each restart has a new one.
	Life Incarnation `json:"life"`
	// Runner is the platform's name of the runner, which may survive a restart.
	Runner  string    `json:"runner,omitempty"`
	Service ServiceID `json:"service"`
	Domain  Domain    `json:"domain"`
	Size    Resources `json:"size"`
	Labels  []string  `json:"labels,omitempty"`
	Rack    Rack      `json:"rack,omitempty"`
	// Draining is set once the runner takes no new work. DrainRemaining is the
	// least time for which it keeps its current runs.
	Draining       bool `json:"draining,omitempty"`
	DrainRemaining Span `json:"left,omitempty"`
	// ColdRemaining is for how long the host is slow after a start.
	ColdRemaining Span `json:"cold,omitempty"`
}

// RunState is the state of a run on a host.
type RunState struct {
	RunRef
	// Checkpoint names the newest checkpoint.
	Checkpoint string `json:"saved,omitempty"`
	// Percent is the progress of a task that ends by itself: the rest of its run
	// time is estimated from it, and a value that stays the same shows a stall
	// unless the task belongs to a gang or fills idle processors. For a lasting
	// task it is the share of its full speed. It is below 100 while the task
	// starts up or is slowed by SetPace, and its tail latency is then not used
	// for estimates.
	Percent int `json:"percent"`
	// TailOrCPU is the tail latency in milliseconds of a serving task, and the
	// processors in use, in thousandths of a core, of any other task.
	TailOrCPU int64 `json:"tail,omitempty"`
}

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped" // by an order
	EndLapsed  EndKind = "lapsed"  // with its lease
	EndBroken  EndKind = "broken"
	EndAlone   EndKind = "alone"
)

// RunEnd is the end of a run. Each incarnation of a runner numbers its ends
// from 1.
type RunEnd struct {
	RunRef
	Number     int64   `json:"number"`
	Kind       EndKind `json:"how"`
	Checkpoint string  `json:"saved,omitempty"`
}

// RunList is the list of runs that a runner reports: those that run and those
// that have ended.
type RunList struct {
	Life    Incarnation
	Clock   Time
	Running []RunState
	Ends    []RunEnd
	// MoreEnds is set if the runner may hold ends that Ends lacks, as it lists a limited
	// number at a time. A run in neither list may then have ended in any way.
	MoreEnds bool
	// Malformed counts the rows of the list that do not decode. Those that do not name
	// their run were left out.
	Malformed int
}

// ResultKind is the result of an order to an agent.
type ResultKind string

// The results of orders.
const (
	// Started means that the runner has started the run.
	Started ResultKind = "started"
	// Refused means that the runner refused to start the run.
	Refused ResultKind = "refused"
	// Absent means that the run is not on the host and can never start.
	Absent ResultKind = "absent"
)

// RunResult is the result of an order about one run.
type RunResult struct {
	RunRef
	Kind   ResultKind `json:"kind"`
	Reason string     `json:"reason,omitempty"`
}

// ImagePair is an estimate of how strongly filling tasks of one image slow
// serving tasks of another on the same host.
type ImagePair struct {
	Serving string `json:"serving"`
	Filling string `json:"filling"`
	// Interference is the load that the filling image adds to the serving one if
	// it uses all processors of the host. Variance is that of the estimate.
	Interference float64 `json:"press"`
	Variance     float64 `json:"variance"`
}

// HostReport is the periodic report of an agent to the owner of the flows.
type HostReport struct {
	Agent Incarnation `json:"agent"`
	URL   string      `json:"url"`
	// BriefFor is set in the answer to brief orders, which has only Results. It is
	// the incarnation of the runner that the orders are for.
	BriefFor Incarnation `json:"brief,omitempty"`
	// Number grows with each report of the agent.
	Number int64 `json:"number"`
	// Epoch is the latest one that the agent knew as it wrote the report, nil from agents
	// of earlier builds.
	Epoch *Epoch `json:"epoch,omitempty"`
	// Fence is an epoch. The runner has confirmed that it refuses calls of
	// earlier epochs.
	Fence Epoch `json:"fence"`
	// ListAge is the time since the runner returned Running and Ends.
	ListAge Span `json:"age,omitempty"`
	// Host is nil while no runner is known.
	Host *HostSpec `json:"host,omitempty"`
	// LostLife is the last incarnation of the runner if that certainly runs
	// nothing any more and no later one is known.
	LostLife Incarnation `json:"lost,omitempty"`
	// Loss describes the last incarnation of the runner that the agent saw end; nil if
	// it saw none.
	Loss    *HostLoss  `json:"loss,omitempty"`
	Running []RunState `json:"running,omitempty"`
	Ends    []RunEnd   `json:"ends,omitempty"`
	// MoreEnds is that of the RunList from which Running and Ends are. Ends that have
	// been acknowledged since are left out of Ends and don't change it.
	MoreEnds bool        `json:"more,omitempty"`
	Results  []RunResult `json:"results,omitempty"`
	// PairsVersion is the version of the estimates for pairs of images that the
	// owner of PairsEpoch has sent to the agent.
	PairsVersion int64 `json:"pairs,omitempty"`
	PairsEpoch   Epoch `json:"since,omitempty"`
	// EntriesHash is the HashStrings of the entries that the agent knows.
	EntriesHash uint32 `json:"entries,omitempty"`
}

// HashStrings returns a number that differs, except by chance, for lists that
// differ.
func HashStrings(list []string) uint32 {
	h := fnv.New32a()
	for _, text := range list {
		_, _ = h.Write([]byte(text)) // A hash returns no errors.
		_, _ = h.Write([]byte{0})
	}
	return h.Sum32()
}

// ReportReply answers a report.
type ReportReply struct {
	Epoch Epoch `json:"epoch,omitempty"`
	// Owner is the URL of the owner, to which the agent then sends its reports.
	Owner string `json:"owner,omitempty"`
	// Entries holds the URLs of all entries. It is empty if the agent knows them.
	Entries []string `json:"entries,omitempty"`
	// Process numbers the process of the agent among those that have reported to this owner
	// from its address, from 1 to MaxProcess, with gaps. It is zero while the owner does not
	// know which of two is the later one, and nil from owners of earlier builds.
	Process *int64 `json:"process,omitempty"`
	// LeaseGrant is the length of the lease, from the moment at which the agent
	// sent the report.
	LeaseGrant Span `json:"grant,omitempty"`
	// AckedThrough is the number of the last end of the incarnation Life up to
	// which the owner has recorded all ends.
	Life         Incarnation `json:"life,omitempty"`
	AckedThrough int64       `json:"acked,omitempty"`
	// Pairs holds the estimates for the images on the host that have changed
	// since the PairsVersion of the report, and PairsVersion their version.
	Pairs        []ImagePair `json:"pairs,omitempty"`
	PairsVersion int64       `json:"version,omitempty"`
	// Out names the failure domains that are out of service.
	Out DomainsOut `json:"out,omitzero"`
}

// RunStart is an order to start a run.
type RunStart struct {
	RunRef
	Spec       string `json:"spec,omitempty"`
	Checkpoint string `json:"saved,omitempty"`
	// Image, Fills, TailTarget and CPU are copied from the step. The agent sets
	// the pace of filling runs by them.
	Image      string     `json:"image,omitempty"`
	Fills      bool       `json:"fills,omitempty"`
	TailTarget Span       `json:"target,omitempty"`
	CPU        Millicores `json:"cpu,omitempty"`
	// Ticket is the host's ticket from the Advice, if the queue needs advice.
	Ticket string `json:"ticket,omitempty"`
}

// HostOrders are the orders of the owner to an agent. Orders without starts and
// stops announce a new owner.
type HostOrders struct {
	Epoch  Epoch       `json:"epoch"`
	Owner  string      `json:"owner"`
	Life   Incarnation `json:"life,omitempty"`
	Starts []RunStart  `json:"starts,omitempty"`
	// Agent is the incarnation of the agent, and Report the number of its last report to
	// which the owner has replied. The starts are void once Valid has passed since the
	// sending of that report: the owner may then place the tasks elsewhere.
	Agent  Incarnation `json:"agent,omitempty"`
	Report int64       `json:"report,omitempty"`
	Valid  Span        `json:"valid,omitempty"`
	// KnownRuns describes the runs on the host to an agent that has restarted.
	KnownRuns []RunStart `json:"known,omitempty"`
	Stops     []RunRef   `json:"stops,omitempty"`
	// Resent is set if the orders were sent before and not answered. The agent
	// then only reports whether the starts took effect, and starts none.
	Resent bool `json:"again,omitempty"`
	// Brief is set if the owner has the lists of the host from an earlier report
	// and only needs the results.
	Brief bool `json:"brief,omitempty"`
	// Out names the failure domains that are out of service.
	Out DomainsOut `json:"out,omitzero"`
}

// Runner is the platform's runner on the agent's host. Errors are KindUnknown if
// the call may have taken effect, or may do so later, KindDown if it was not sent,
// KindMissing if no runner listens any more, KindStale if another incarnation
// answered, KindConflict if the runner has received a higher fence, and
// KindLimited if it did nothing because it is unhealthy.
type Runner interface {
	// Start starts a run, unless until has passed on the runner's clock, and
	// returns that clock. A refusal is KindBusy with the reason as What.
	Start(ctx context.Context, life Incarnation, s RunStart, until Time, fence Fence) (clock Time, err error)
	// Stop ends a run. If the run has not started, it can never start afterwards.
	Stop(ctx context.Context, life Incarnation, r RunRef, fence Fence) error
	// RenewLeases sets the lease end of all runs to until on the runner's clock,
	// drops ends up to the number acked, and waits up to the span for a new end.
	RenewLeases(ctx context.Context, life Incarnation, until Time, acked int64, wait Span, fence Fence) (RunList, error)
	// SetPace limits the speed of a run to a percentage, from 0 to 100.
	SetPace(ctx context.Context, life Incarnation, r RunRef, percent int, fence Fence) error
}

// RunnerHeartbeat is a heartbeat of a runner.
type RunnerHeartbeat struct {
	Host HostSpec
	// Sequence grows within an incarnation, so that late heartbeats can be
	// recognised.
	Sequence int64
	// Clock is the time of sending on the runner's clock.
	Clock Time
}

// HeartbeatListener receives the calls of a runner to its agent.
type HeartbeatListener interface {
	// Heartbeat handles a heartbeat.
	Heartbeat(b RunnerHeartbeat)
	// Leave handles the notice that the runner with the name is shutting down.
	Leave(runner string)
}

// Advice holds the hosts on which a step may run, each with a ticket that a
// start there must carry.
type Advice struct {
	// Tickets maps the platform's name of a runner to the ticket.
	Tickets map[string]string
	// ValidFor is how long the tickets may be used.
	ValidFor Span
}

// Advisor decides which hosts may run a step of a queue that needs advice.
type Advisor interface {
	// Advise asks which of the runners may run the step; at most 100 may be
	// named. KindBusy means that the advisor has too many waiting calls.
	Advise(ctx context.Context, job JobID, round, step int, runners []string) (Advice, error)
}
