package cowslipbend

// Outcome tells a caller what became of a request.
type Outcome string

// The outcomes of a request.
const (
	// Ran means that the answer is whole and the caller's own.
	Ran Outcome = "ran"
	// NotRun means that the request certainly did not run.
	NotRun Outcome = "notrun"
	// Uncertain means that the request may have run.
	Uncertain Outcome = "unknown"
)

// The ends of a watch, told in the trailer HeaderEnd.
const (
	// EndWhole means that the endpoint ended the answer.
	EndWhole = "whole"
	// EndLeaving means that a process on the way shut down; watch again.
	EndLeaving = "leaving"
)

// Headers of the caller's protocol and of the calls from entry to agent.
const (
	HeaderTeam     = "Cowslip-Team"     // the team that pays for the request
	HeaderID       = "Cowslip-Id"       // caller's id; required with Cowslip-Once
	HeaderOnce     = "Cowslip-Once"     // "1" for a non-idempotent request
	HeaderWatch    = "Cowslip-Watch"    // "1" for a stream without a time limit
	HeaderDeadline = "Cowslip-Deadline" // milliseconds left for the answer
	HeaderOutcome  = "Cowslip-Outcome"  // an Outcome, on every answer
	HeaderRequest  = "Cowslip-Request"  // the RequestID, between entry and agent
	HeaderLife     = "Cowslip-Life"     // the agent's incarnation
	HeaderToken    = "Cowslip-Token"    // the agent's time token
	HeaderState    = "Cowslip-State"    // endpoint state on each answer of an agent
	HeaderEnd      = "Cowslip-End"      // trailer of a watch: EndWhole or EndLeaving
)
