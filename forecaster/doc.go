// Package forecaster predicts how long a write to the store takes, from the writes
// that were answered lately and from those that still wait for an answer. It answers a
// store that is slow for some seconds: callers wait for a write until their deadline
// and then know nothing, while they could have been refused at once, truthfully, and
// told when to come back.
//
// It has no clock and no network. Package intaker asks it before it sends.
package forecaster
