// Package limiter admits requests within the declared rate limits of teams and
// services. Each entry enforces its own share of every limit, so that admitting
// a request needs no call between entries. The entries report the demand of
// their callers to each other at regular intervals, and each derives its share
// from it.
package limiter
