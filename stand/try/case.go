package try

import (
	"fmt"
	"io"

	"cowslipbend.dev"
)

// action is what a step of a case does.
type action string

// The actions of steps. A step's Who is the index of an entry, agent or
// worker; owner stands for the entry that owns the pool.
const (
	setRate      action = "rate"         // callers send Value requests a second
	setNoisy     action = "noisy"        // Value percent of the jobs are noisy
	cancelWave   action = "cancel"       // half of the newest jobs are cancelled
	publishAgain action = "publish"      // the set is published with a change
	storeDown    action = "storedown"    // the platform's store is out for Lasts
	storeSlow    action = "storeslow"    // each call takes Value ms longer for Lasts
	storeLoses   action = "storeloses"   // Value percent of writes lose their answer for Lasts
	killEntry    action = "killentry"    // replaced after Lasts
	killAgent    action = "killagent"    // started again after Lasts
	killWorker   action = "killworker"   // with its agent; started again after Lasts
	pauseEntry   action = "pauseentry"   // stands still for Lasts
	pauseAgent   action = "pauseagent"   // stands still for Lasts
	silentEntry  action = "silententry"  // open connections to it fall silent
	silentAgent  action = "silentagent"  // open connections to it fall silent
	silentWorker action = "silentworker" // answers its agent no more for Lasts
	failWorker   action = "failworker"   // fails everything for Lasts
	slowWorker   action = "slowworker"   // takes Value times as long for Lasts
	lagUsage     action = "lag"          // measurements are Value ms old
	rollEntries  action = "rollentries"  // replaces each entry, one after the other
	rollAgents   action = "rollagents"   // replaces each agent, one after the other
)

// owner stands for the entry that owns the pool.
const owner = -1

// step is one event of a case. Times are those of a case at its full length
// and shrink with it.
type step struct {
	At    cowslipbend.Span
	Do    action
	Who   int
	Value float64
	Lasts cowslipbend.Span
}

// scenario is one case: the load at its start and what happens then.
type scenario struct {
	Name  string
	About string
	// Length is how long callers call if nothing else is said.
	Length      cowslipbend.Span
	Noisy       int
	Misdeclared bool
	Steps       []step
}

const second = cowslipbend.Second

// Rates of callers in requests a second.
const (
	quietRate = 300
	surgeRate = 1500
)

// surge is a long quiet, then everyone at once.
var surge = []step{
	{At: 8 * second, Do: setRate, Value: surgeRate},
	{At: 16 * second, Do: setRate, Value: quietRate},
}

// waves of batch that pairs badly with the service.
var waves = []step{
	{At: 3 * second, Do: setNoisy, Value: 70},
	{At: 8 * second, Do: setNoisy, Value: 0},
	{At: 12 * second, Do: setNoisy, Value: 70},
	{At: 17 * second, Do: setNoisy, Value: 0},
}

// scenarios are all cases in the order of the listing.
var scenarios = []scenario{
	{Name: "quiet", About: "usual load, no fault", Length: 20 * second},
	{Name: "surge", About: "long quiet, then all callers at once", Length: 20 * second, Steps: surge},
	{Name: "noisy", About: "waves of batch that slows services down", Length: 20 * second, Steps: waves},
	{Name: "misdeclared", About: "sizes and run times off by up to 5 times, jobs that can never run", Length: 20 * second, Misdeclared: true},
	{Name: "badworker", About: "one worker fails everything fast, one is slow", Length: 20 * second, Steps: []step{
		{At: 2 * second, Do: failWorker, Who: 2, Lasts: 12 * second},
		{At: 2 * second, Do: slowWorker, Who: 5, Value: 5, Lasts: 12 * second},
	}},
	{Name: "cancel", About: "waves of cancellations", Length: 20 * second, Steps: []step{
		{At: 5 * second, Do: cancelWave}, {At: 9 * second, Do: cancelWave}, {At: 13 * second, Do: cancelWave},
	}},
	{Name: "deadline", About: "surge, noisy and misdeclared together", Length: 20 * second, Misdeclared: true, Steps: join(surge, waves)},
	{Name: "storedown", About: "the store is out for 30 s", Length: 45 * second, Steps: []step{
		{At: 5 * second, Do: storeDown, Lasts: 30 * second},
	}},
	{Name: "storeslow", About: "every call to the store takes 400 ms longer", Length: 20 * second, Steps: []step{
		{At: 4 * second, Do: storeSlow, Value: 400, Lasts: 10 * second},
	}},
	{Name: "lostanswer", About: "a fifth of the writes take effect without an answer", Length: 20 * second, Steps: []step{
		{At: 3 * second, Do: storeLoses, Value: 20, Lasts: 12 * second},
	}},
	{Name: "killentry", About: "the pool's owner is killed, then another entry", Length: 20 * second, Steps: []step{
		{At: 4 * second, Do: killEntry, Who: owner, Lasts: 4 * second},
		{At: 12 * second, Do: killEntry, Who: 1, Lasts: 3 * second},
	}},
	{Name: "killworker", About: "a worker, then the agent of another, is killed", Length: 20 * second, Steps: []step{
		{At: 4 * second, Do: killWorker, Who: 3, Lasts: 6 * second},
		{At: 6 * second, Do: killAgent, Who: 7, Lasts: 2 * second},
	}},
	{Name: "pause", About: "the owner and an agent stand still past their leases", Length: 25 * second, Steps: []step{
		{At: 4 * second, Do: pauseEntry, Who: owner, Lasts: 10 * second},
		{At: 6 * second, Do: pauseAgent, Who: 4, Lasts: 9 * second},
	}},
	{Name: "silent", About: "open connections fall silent, and a worker", Length: 20 * second, Steps: []step{
		{At: 4 * second, Do: silentAgent, Who: 2},
		{At: 7 * second, Do: silentEntry, Who: 0},
		{At: 9 * second, Do: silentWorker, Who: 6, Lasts: 5 * second},
		{At: 12 * second, Do: silentAgent, Who: 8},
	}},
	{Name: "roll", About: "every entry, then every agent is replaced, and the set published", Length: 40 * second, Steps: join([]step{
		{At: 3 * second, Do: rollEntries}, {At: 20 * second, Do: rollAgents},
	}, publishes())},
	{Name: "storm", About: "several faults at once", Length: 30 * second, Misdeclared: true, Steps: join(waves, []step{
		{At: 3 * second, Do: storeLoses, Value: 10, Lasts: 5 * second},
		{At: 4 * second, Do: killEntry, Who: owner, Lasts: 4 * second},
		{At: 5 * second, Do: silentAgent, Who: 1},
		{At: 9 * second, Do: storeDown, Lasts: 5 * second},
		{At: 11 * second, Do: killAgent, Who: 3, Lasts: 2 * second},
		{At: 12 * second, Do: killWorker, Who: 5, Lasts: 6 * second},
		{At: 16 * second, Do: pauseEntry, Who: owner, Lasts: 8 * second},
		{At: 18 * second, Do: failWorker, Who: 8, Lasts: 5 * second},
		{At: 19 * second, Do: cancelWave},
		{At: 20 * second, Do: publishAgain},
	})},
}

// publishes publishes again and again.
func publishes() []step {
	var steps []step
	for at := 2 * second; at < 38*second; at += publishPeriod {
		steps = append(steps, step{At: at, Do: publishAgain})
	}
	return steps
}

// publishPeriod is the time between two publishes, below which they would
// race.
const publishPeriod = 700 * cowslipbend.Millisecond

func join(lists ...[]step) []step {
	var all []step
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

// find returns the case with the name, or KindInvalid.
func find(name string) (scenario, error) {
	for _, c := range scenarios {
		if c.Name == name {
			return c, nil
		}
	}
	return scenario{}, cowslipbend.Invalid("--case", name+" is unknown", "see --case list")
}

// List writes one line for each case.
func List(w io.Writer) error {
	for _, c := range scenarios {
		if _, err := fmt.Fprintf(w, "%-12s %5s  %s\n", c.Name, c.Length, c.About); err != nil {
			return err
		}
	}
	return nil
}
