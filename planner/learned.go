package planner

import (
	"math"

	"cowslipbend.dev"
	"cowslipbend.dev/sequencer"
)

// Learned counts what the learned lengths and the order came to since the last call of
// TakeLearned.
type Learned struct {
	// Runs is the number of ended runs whose length was expected before they started.
	// DeclaredError and ExpectedError sum the errors of their declared and of their
	// expected lengths, as absolute differences of logarithms.
	Runs                         int
	DeclaredError, ExpectedError float64
	// Outcomes counts the flows with a target.
	Outcomes map[Outcome]int
}

// Outcome tells whether flows of a size met their target.
type Outcome struct {
	Size sequencer.Size
	Met  bool
}

// TakeLearned returns the counts and sets them to zero.
func (p *Planner) TakeLearned() Learned {
	l := p.learned
	p.learned = Learned{}
	return l
}

// addLength counts the length of an ended run.
func (l *Learned) addLength(length, declared, expected cowslipbend.Span) {
	if declared <= 0 || expected <= 0 {
		return
	}
	l.Runs++
	l.DeclaredError += math.Abs(math.Log(float64(length) / float64(declared)))
	l.ExpectedError += math.Abs(math.Log(float64(length) / float64(expected)))
}

// addOutcome counts the outcome of a flow.
func (l *Learned) addOutcome(o Outcome) {
	if l.Outcomes == nil {
		l.Outcomes = map[Outcome]int{}
	}
	l.Outcomes[o]++
}
