// Package blamer learns which filling images press on which serving images.
// It answers the load of hosts where a few pairs of images disturb each other
// strongly, most hardly at all, and the load of serving tasks swings by itself:
// a tail above its target is blamed on what filled beside it and has not been
// seen to be harmless.
//
// Package planner feeds it from the hosts' reports and keeps harmful pairs
// apart; package pacer slows what cannot be kept apart.
package blamer
