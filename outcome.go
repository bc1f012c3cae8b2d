package cowslipbend

// Outcome tells a caller whether its request was executed.
type Outcome string

// The outcomes of a request.
const (
	// Ran means that the request was executed and its complete answer follows.
	Ran Outcome = "ran"
	// NotRun means that the request was certainly not executed.
	NotRun Outcome = "notrun"
	// Uncertain means that the request may have been executed.
	Uncertain Outcome = "unknown"
)

// The values of the trailer HeaderEnd, which tell how a watch ended.
const (
	// EndWhole means that the endpoint completed the answer.
	EndWhole = "whole"
	// EndLeaving means that a process on the path shut down; the caller should
	// watch again.
	EndLeaving = "leaving"
)

// Headers of requests from callers to entries and from entries to agents.
const (
	HeaderTeam     = "Cowslip-Team"     // team to which the request is accounted
	HeaderID       = "Cowslip-Id"       // id chosen by the caller; required with Cowslip-Once
	HeaderOnce     = "Cowslip-Once"     // "1" for a non-idempotent request
	HeaderWatch    = "Cowslip-Watch"    // "1" for a stream without a time limit
	HeaderDeadline = "Cowslip-Deadline" // milliseconds left until the answer is due
	HeaderOutcome  = "Cowslip-Outcome"  // Outcome, on every answer
	HeaderRequest  = "Cowslip-Request"  // the RequestID, between entry and agent
	HeaderLife     = "Cowslip-Life"     // the agent's incarnation
	HeaderToken    = "Cowslip-Token"    // the agent's time token
	HeaderState    = "Cowslip-State"    // endpoint state on each answer of an agent
	HeaderEnd      = "Cowslip-End"      // trailer of a watch: EndWhole or EndLeaving
)
