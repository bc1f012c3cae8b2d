// Package receiver implements the entry's side of the protocol for callers:
//
//	ANY /call/{service}/{path...}
//
// with the headers Cowslip-Team, Cowslip-Deadline, and for a non-idempotent
// request Cowslip-Once: 1 and Cowslip-Id. Each answer has the header
// Cowslip-Outcome: ran, notrun or unknown; the body of the last two is an
// Error in JSON.
//
// A request with Cowslip-Watch: 1 may stay open without a time limit. Its
// answer ends with the trailer Cowslip-End: whole if the endpoint ended it, or
// leaving if the entry or the agent shuts down and the caller should send a new
// request.
package receiver
