// Package operator is the client of the operators' protocol of package
// administrator. The command cowslip and the stand use it.
package operator
