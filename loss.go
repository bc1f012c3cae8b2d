package cowslipbend

// YoungRunAge is the age up to which a run counts as a possible cause of the loss of
// its runner. A task that crashes a runner does so as it starts.
const YoungRunAge = 2 * Second

// LateCallTimeout is how long after it was sent a call that a runner left unanswered may still be
// carried out: 12 s, and a margin.
const LateCallTimeout = 13 * Second

// LossCause is why an incarnation of a runner runs nothing any more.
type LossCause string

// The causes of losses.
const (
	// LossCrashed means that it ended without notice.
	LossCrashed LossCause = "crashed"
	// LossLeft means that it ended after it had announced that it would leave.
	LossLeft LossCause = "left"
	// LossLapsed means that its lease ended while it could not be reached. It may
	// still be up.
	LossLapsed LossCause = "lapsed"
	// LossReplaced means that a later incarnation was reported, and the end of this
	// one was not seen.
	LossReplaced LossCause = "replaced"
)

// HostLoss describes the loss of an incarnation of a runner.
type HostLoss struct {
	Life  Incarnation `json:"life"`
	Cause LossCause   `json:"cause"`
	// Young holds the runs whose start was sent at most YoungRunAge before the
	// runner was last known to be up and has reached it, the youngest first.
	Young []LostRun `json:"young,omitempty"`
	// Unanswered holds the runs whose start was sent within LateCallTimeout and not answered.
	// The next incarnation with the same id may still carry it out.
	Unanswered []RunRef `json:"unanswered,omitempty"`
}

// LostRun is a run that was lost with its runner.
type LostRun struct {
	RunRef
	// Age is the time from the sending of its start to the first sign of the loss.
	Age Span `json:"age"`
}

// check returns KindInvalid if the loss names no incarnation or task, or has a
// negative age.
func (l *HostLoss) check() error {
	if l.Life == "" || l.Cause == "" {
		return Invalid("loss", "names no incarnation or cause", "check the agent's version")
	}
	for i := range l.Young {
		r := &l.Young[i]
		if err := r.check("loss"); err != nil {
			return err
		}
		if r.Age < 0 {
			return Invalid("loss", "has a run with a negative age", "check the agent's version")
		}
	}
	for i := range l.Unanswered {
		if err := l.Unanswered[i].check("loss"); err != nil {
			return err
		}
	}
	return nil
}
