package cowslipbend

import "context"

// RunRef names one run of a task.
type RunRef struct {
	Task TaskRef `json:"task"`
	Run  Attempt `json:"run"`
}

// HostSpec describes one life of a host's runner.
type HostSpec struct {
	// Life is new whenever the runner starts again.
	Life Incarnation `json:"life"`
	// Runner is the platform's name for it, which may outlive a restart.
	Runner  string    `json:"runner,omitempty"`
	Service ServiceID `json:"service"`
	Domain  Domain    `json:"domain"`
	Size    Resources `json:"size"`
	Labels  []string  `json:"labels,omitempty"`
	Rack    Rack      `json:"rack,omitempty"`
	// Draining is set once the runner takes no new work; Left is the least
	// time for which it still runs what it has.
	Draining bool `json:"draining,omitempty"`
	Left     Span `json:"left,omitempty"`
}

// RunState is a run that is on a host.
type RunState struct {
	RunRef
	// Saved is the newest checkpoint.
	Saved string `json:"saved,omitempty"`
	// Percent is the share at which the task works; below 100 it starts up or
	// is paced.
	Percent int `json:"percent"`
	// Tail is the tail latency of a serving task in milliseconds; for others
	// it is the processors in use in thousandths of a core.
	Tail int64 `json:"tail,omitempty"`
}

// EndKind tells how a run ended.
type EndKind string

// The ends of a run.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	EndBroken  EndKind = "broken"
	EndAlone   EndKind = "alone"
)

// RunEnd is the end of a run. Ends of one runner's life are numbered from 1.
type RunEnd struct {
	RunRef
	Number int64   `json:"number"`
	How    EndKind `json:"how"`
	Saved  string  `json:"saved,omitempty"`
}

// RunList is what a runner says it runs and has run.
type RunList struct {
	Life    Incarnation
	Clock   Time
	Running []RunState
	Ends    []RunEnd
}

// ResultKind tells what became of an order.
type ResultKind string

// The results of orders.
const (
	// Started means that the run is on the host.
	Started ResultKind = "started"
	// Refused means that the runner did not take the run.
	Refused ResultKind = "refused"
	// Absent means that the run is not there and can never begin.
	Absent ResultKind = "absent"
)

// RunResult is what became of one order.
type RunResult struct {
	RunRef
	Kind   ResultKind `json:"kind"`
	Reason string     `json:"reason,omitempty"`
}

// Pair is an estimate of how a filling image presses on a serving one.
type Pair struct {
	Serving string `json:"serving"`
	Filling string `json:"filling"`
	// Press is the load that the filling image adds if it uses all of the
	// host, with the variance of the estimate.
	Press    float64 `json:"press"`
	Variance float64 `json:"variance"`
}

// HostReport is what an agent tells the owner.
type HostReport struct {
	Agent Incarnation `json:"agent"`
	URL   string      `json:"url"`
	// Number grows with each report of the agent.
	Number int64 `json:"number"`
	// Fence is the epoch that the runner has confirmed to enforce.
	Fence Epoch `json:"fence"`
	// Age is how long ago the runner gave the lists.
	Age Span `json:"age,omitempty"`
	// Host is nil while no runner is known.
	Host *HostSpec `json:"host,omitempty"`
	// Lost names a life that certainly runs nothing any more, while no other
	// is known.
	Lost    Incarnation `json:"lost,omitempty"`
	Running []RunState  `json:"running,omitempty"`
	Ends    []RunEnd    `json:"ends,omitempty"`
	Results []RunResult `json:"results,omitempty"`
	// Pairs is the version of the estimates about images that the agent has.
	Pairs int64 `json:"pairs,omitempty"`
}

// ReportReply answers a report.
type ReportReply struct {
	Epoch Epoch `json:"epoch,omitempty"`
	// Owner is the URL of the owner; the agent reports there from now on.
	Owner   string   `json:"owner,omitempty"`
	Entries []string `json:"entries,omitempty"`
	// Grant is the lease, counted from when the report was sent.
	Grant Span `json:"grant,omitempty"`
	// Life and Acked say up to which end of which life all is recorded.
	Life  Incarnation `json:"life,omitempty"`
	Acked int64       `json:"acked,omitempty"`
	// Pairs is what is known of the images on the host, if it has changed, at
	// Version.
	Pairs   []Pair `json:"pairs,omitempty"`
	Version int64  `json:"version,omitempty"`
}

// RunStart asks for a run.
type RunStart struct {
	RunRef
	Spec  string `json:"spec,omitempty"`
	Saved string `json:"saved,omitempty"`
	// Image, Fills, Target and CPU are those of the step; the agent paces by
	// them.
	Image  string     `json:"image,omitempty"`
	Fills  bool       `json:"fills,omitempty"`
	Target Span       `json:"target,omitempty"`
	CPU    Millicores `json:"cpu,omitempty"`
	Ticket string     `json:"ticket,omitempty"`
}

// HostOrders are what the owner wants of an agent. Empty orders announce the
// owner.
type HostOrders struct {
	Epoch  Epoch       `json:"epoch"`
	Owner  string      `json:"owner"`
	Life   Incarnation `json:"life,omitempty"`
	Starts []RunStart  `json:"starts,omitempty"`
	// Known tells an agent that has restarted what its runs are.
	Known []RunStart `json:"known,omitempty"`
	Stops []RunRef   `json:"stops,omitempty"`
	// Again is set if the orders were sent before without an answer. Their
	// starts are then settled, not begun.
	Again bool `json:"again,omitempty"`
}

// Runner is the platform's runner beside an agent. Errors have KindUnknown if
// the call may have been carried out, KindDown if it was not sent, KindMissing
// if no runner listens any more, KindStale if another life answered,
// KindLimited if the runner did nothing because it is not well.
type Runner interface {
	// Start begins a run unless the moment, on the runner's clock, has passed.
	// A refusal has KindBusy and its reason as What.
	Start(ctx context.Context, life Incarnation, s RunStart, until Time, fence Epoch) (clock Time, err error)
	// Stop ends a run, or keeps one that has not begun from ever beginning.
	Stop(ctx context.Context, life Incarnation, r RunRef, fence Epoch) error
	// Hold moves the lease of all runs to the moment on the runner's clock,
	// forgets ends up to acked, and waits up to the span for an end.
	Hold(ctx context.Context, life Incarnation, until Time, acked int64, wait Span, fence Epoch) (RunList, error)
	// Pace lets a run work at a share, from 0 to 100.
	Pace(ctx context.Context, life Incarnation, r RunRef, percent int, fence Epoch) error
}

// HostBeat is a heartbeat of a runner.
type HostBeat struct {
	Host HostSpec
	// Sequence grows within a life, so that late heartbeats can be told.
	Sequence int64
	// Clock is the runner's clock when it sent the heartbeat.
	Clock Time
}

// BeatListener takes what a runner says of itself.
type BeatListener interface {
	// Beat takes a heartbeat.
	Beat(b HostBeat)
	// Leave takes word that the runner of that name ends.
	Leave(runner string)
}

// Advice allows hosts for a step, with the ticket that a start must carry.
type Advice struct {
	// Tickets are by the platform's name of the runner.
	Tickets map[string]string
	// Valid is how long they may be used.
	Valid Span
}

// Advisor tells which hosts may run a step of an advised queue.
type Advisor interface {
	// Advise asks about the runners, of which at most 100 may be named.
	// KindBusy means that too many calls wait.
	Advise(ctx context.Context, job JobID, round, step int, runners []string) (Advice, error)
}
