package supervisor

import (
	"cmp"
	"slices"

	"cowslipbend.dev"
)

// sortedEnds returns the ends in the order of their numbers, as the last one tells
// which ends of the next list are new.
func sortedEnds(ends []cowslipbend.RunEnd) []cowslipbend.RunEnd {
	return slices.SortedFunc(slices.Values(ends), func(a, b cowslipbend.RunEnd) int { return cmp.Compare(a.Number, b.Number) })
}
