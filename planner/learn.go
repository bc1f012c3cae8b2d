package planner

import (
	"cowslipbend.dev"
)

// lengths learns how long tasks really take, by queue and estimate.
type lengths map[cowslipbend.QueueID]*ratio

// ratio is a smoothed quotient of true and estimated run times.
type ratio struct {
	value float64
	count int
}

// learn takes a finished run.
func (l lengths) learn(*flow, *step, *task) {}

// history is what a host's runs have shown.
type history struct {
	// faults counts failures in a row of work that may well be sound.
	faults int
}

// judge learns about the host from an end.
func (h *host) judge(_ *Planner, e *cowslipbend.RunEnd) {
	switch e.How {
	case cowslipbend.EndDone:
		h.past.faults = 0
	case cowslipbend.EndFailed:
		h.past.faults++
	case cowslipbend.EndStopped, cowslipbend.EndLapsed, cowslipbend.EndBroken, cowslipbend.EndAlone:
	}
}

// refused learns from a refusal.
func (h *host) refused(*Planner, cowslipbend.RunResult, cowslipbend.Time) {}
