package conductor

import "cowslipbend.dev"

// Leases that owners grant.
const (
	// grantNumerator / grantDenominator is the share of the longest lease of a runner that a
	// lease uses. The rest is margin for rounding and slow clocks.
	grantNumerator   = 9
	grantDenominator = 10
	// maxGrant bounds a lease. It lets tasks survive an agent that is paused
	// for four seconds. A longer lease would delay the restart of tasks of a
	// lost host, which waits until the lease has lapsed.
	maxGrant = 6 * cowslipbend.Second
)

// Grant returns the longest lease that an owner grants, where runners accept maxLease.
func Grant(maxLease cowslipbend.Span) cowslipbend.Span {
	return min(maxLease*grantNumerator/grantDenominator, maxGrant)
}
