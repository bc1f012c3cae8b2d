package try

import (
	"fmt"
	"io"

	"cowslipbend.dev"
)

// action is the change or fault that a step of a case applies.
type action string

// Actions of steps. Target is the index of an entry, agent or worker, or
// poolOwner.
const (
	setRate           action = "rate"         // callers send Value requests per second
	setNoisy          action = "noisy"        // Value percent of the jobs are noisy
	cancelJobs        action = "cancel"       // every other of the newest jobs is cancelled
	publishChange     action = "publish"      // the declarations are published with a change
	storeDown         action = "storedown"    // the platform's store is unavailable for Duration
	storeSlow         action = "storeslow"    // each call of the store takes Value ms longer for Duration
	storeLosesAnswers action = "storeloses"   // Value percent of writes lose their answer for Duration
	killEntry         action = "killentry"    // replaced after Duration
	killAgent         action = "killagent"    // restarted after Duration
	killWorker        action = "killworker"   // with its agent; restarted after Duration
	pauseEntry        action = "pauseentry"   // its clock and connections stop for Duration
	pauseAgent        action = "pauseagent"   // its clock and connections stop for Duration
	blackholeEntry    action = "silententry"  // its open connections discard all data without closing
	blackholeAgent    action = "silentagent"  // its open connections discard all data without closing
	hangWorker        action = "silentworker" // does not answer its agent for Duration
	failWorker        action = "failworker"   // fails all tasks and requests for Duration
	slowWorker        action = "slowworker"   // takes Value times as long for Duration
	delayMeasurements action = "lag"          // measurements are Value ms old
	rollEntries       action = "rollentries"  // replaces each entry, one after the other
	rollAgents        action = "rollagents"   // replaces each agent, one after the other
)

// poolOwner is the Target that selects the entry that owns the pool.
const poolOwner = -1

// step is one event of a case. At and Duration apply to a run of the case's full
// length and scale with the length of the run.
type step struct {
	At       cowslipbend.Span
	Action   action
	Target   int
	Value    float64
	Duration cowslipbend.Span
}

// scenario is one case: the load at its start, and the steps that follow.
type scenario struct {
	Name    string
	Summary string
	// Length is the time under load unless the options set another.
	Length       cowslipbend.Span
	NoisyPercent int
	Misdeclared  bool
	Steps        []step
}

const second = cowslipbend.Second

// Rates of callers in requests per second.
const (
	baseRate  = 300
	surgeRate = 1500
)

// surgeSteps raises the callers' rate to five times the base rate for 8 s.
var surgeSteps = []step{
	{At: 8 * second, Action: setRate, Value: surgeRate},
	{At: 16 * second, Action: setRate, Value: baseRate},
}

// noisySteps are two waves of batch jobs that interfere with the service.
var noisySteps = []step{
	{At: 3 * second, Action: setNoisy, Value: 70},
	{At: 8 * second, Action: setNoisy, Value: 0},
	{At: 12 * second, Action: setNoisy, Value: 70},
	{At: 17 * second, Action: setNoisy, Value: 0},
}

// scenarios holds all cases in the order in which List writes them.
var scenarios = []scenario{
	{Name: "quiet", Summary: "usual load, no fault", Length: 20 * second},
	{Name: "surge", Summary: "usual load, then callers send five times as many requests", Length: 20 * second, Steps: surgeSteps},
	{Name: "noisy", Summary: "waves of batch jobs that interfere with services", Length: 20 * second, Steps: noisySteps},
	{Name: "misdeclared", Summary: "sizes and run times off by up to 5 times, jobs that can never run", Length: 20 * second, Misdeclared: true},
	{Name: "badworker", Summary: "one worker fails everything fast, one is slow", Length: 20 * second, Steps: []step{
		{At: 2 * second, Action: failWorker, Target: 2, Duration: 12 * second},
		{At: 2 * second, Action: slowWorker, Target: 5, Value: 5, Duration: 12 * second},
	}},
	{Name: "cancel", Summary: "waves of cancellations", Length: 20 * second, Steps: []step{
		{At: 5 * second, Action: cancelJobs}, {At: 9 * second, Action: cancelJobs}, {At: 13 * second, Action: cancelJobs},
	}},
	{Name: "deadline", Summary: "surge, noisy and misdeclared together", Length: 20 * second, Misdeclared: true, Steps: concat(surgeSteps, noisySteps)},
	{Name: "storedown", Summary: "the store is unavailable for 30 s", Length: 45 * second, Steps: []step{
		{At: 5 * second, Action: storeDown, Duration: 30 * second},
	}},
	{Name: "storeslow", Summary: "every call to the store takes 400 ms longer", Length: 20 * second, Steps: []step{
		{At: 4 * second, Action: storeSlow, Value: 400, Duration: 10 * second},
	}},
	{Name: "lostanswer", Summary: "a fifth of the writes take effect without an answer", Length: 20 * second, Steps: []step{
		{At: 3 * second, Action: storeLosesAnswers, Value: 20, Duration: 12 * second},
	}},
	{Name: "killentry", Summary: "the pool's owner is killed, then another entry", Length: 20 * second, Steps: []step{
		{At: 4 * second, Action: killEntry, Target: poolOwner, Duration: 4 * second},
		{At: 12 * second, Action: killEntry, Target: 1, Duration: 3 * second},
	}},
	{Name: "killworker", Summary: "a worker, then the agent of another, is killed", Length: 20 * second, Steps: []step{
		{At: 4 * second, Action: killWorker, Target: 3, Duration: 6 * second},
		{At: 6 * second, Action: killAgent, Target: 7, Duration: 2 * second},
	}},
	{Name: "pause", Summary: "the owner and an agent are paused until after their leases end", Length: 25 * second, Steps: []step{
		{At: 4 * second, Action: pauseEntry, Target: poolOwner, Duration: 10 * second},
		{At: 6 * second, Action: pauseAgent, Target: 4, Duration: 9 * second},
	}},
	{Name: "silent", Summary: "open connections discard all data, and a worker hangs", Length: 20 * second, Steps: []step{
		{At: 4 * second, Action: blackholeAgent, Target: 2},
		{At: 7 * second, Action: blackholeEntry, Target: 0},
		{At: 9 * second, Action: hangWorker, Target: 6, Duration: 5 * second},
		{At: 12 * second, Action: blackholeAgent, Target: 8},
	}},
	{Name: "roll", Summary: "every entry, then every agent is replaced while the declarations are published repeatedly", Length: 40 * second, Steps: concat([]step{
		{At: 3 * second, Action: rollEntries}, {At: 20 * second, Action: rollAgents},
	}, publishSteps())},
	{Name: "storm", Summary: "several faults at once", Length: 30 * second, Misdeclared: true, Steps: concat(noisySteps, []step{
		{At: 3 * second, Action: storeLosesAnswers, Value: 10, Duration: 5 * second},
		{At: 4 * second, Action: killEntry, Target: poolOwner, Duration: 4 * second},
		{At: 5 * second, Action: blackholeAgent, Target: 1},
		{At: 9 * second, Action: storeDown, Duration: 5 * second},
		{At: 11 * second, Action: killAgent, Target: 3, Duration: 2 * second},
		{At: 12 * second, Action: killWorker, Target: 5, Duration: 6 * second},
		{At: 16 * second, Action: pauseEntry, Target: poolOwner, Duration: 8 * second},
		{At: 18 * second, Action: failWorker, Target: 8, Duration: 5 * second},
		{At: 19 * second, Action: cancelJobs},
		{At: 20 * second, Action: publishChange},
	})},
}

// publishSteps returns publishes at regular intervals throughout the case.
func publishSteps() []step {
	var steps []step
	for at := 2 * second; at < 38*second; at += publishInterval {
		steps = append(steps, step{At: at, Action: publishChange})
	}
	return steps
}

// publishInterval is the time between two publishes. With a shorter one, they
// would overlap and conflict.
const publishInterval = 700 * cowslipbend.Millisecond

func concat(lists ...[]step) []step {
	var all []step
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

// findScenario returns the case with the name, or an error of KindInvalid.
func findScenario(name string) (scenario, error) {
	for _, c := range scenarios {
		if c.Name == name {
			return c, nil
		}
	}
	return scenario{}, cowslipbend.Invalid("--case", name+" is unknown", "see --case list")
}

// List writes one line per case with its name, length and summary.
func List(w io.Writer) error {
	for _, c := range scenarios {
		if _, err := fmt.Fprintf(w, "%-12s %5s  %s\n", c.Name, c.Length, c.Summary); err != nil {
			return err
		}
	}
	return nil
}
