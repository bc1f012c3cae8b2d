// Package placer implements the placement policies. firstfit and leastloaded
// place by declared sizes and serve as baselines; guarded learns task sizes and
// interference from measurements. All implement cowslipbend.Placement.
package placer
