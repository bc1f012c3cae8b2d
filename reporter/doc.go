// Package reporter counts the results of the requests of each service and
// reports the burn rates of their error budgets. Each entry has a Recorder,
// which counts by minute and writes the counts to rows of the platform's
// table, so that they survive the loss of any host. A Report merges the rows
// of all entries; package renderer formats it.
package reporter
