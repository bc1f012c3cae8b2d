// Package cowslipbend holds the domain types of the scheduler: identifiers,
// units, time, resources, jobs, journal records, errors, and the interfaces
// whose implementations vary.
//
// It imports no other package of this project. The packages below it implement
// its interfaces, and the programs entry, agent, cowslip and stand assemble
// them into processes.
package cowslipbend
