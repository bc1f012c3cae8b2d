// Package estimator learns how strongly filling images press on serving ones. It
// answers the load of hosts where a few pairs of images disturb each other
// much and most hardly at all, while the serving tasks' own load swings.
//
// A serving task is taken for a queue: its tail is its base divided by the
// share of time that is left to it. That share falls by its own load and, for
// each filling image, by a press times the part of the host's processors that
// the image uses. The presses are estimated by a Kalman filter with
// independent terms. It also follows the own load of each group of serving
// tasks on each host, which drifts slowly, so that what changes when filling
// work begins or ends is told from that drift.
//
// Package planner feeds it from all hosts' reports and keeps strong pairs
// apart. Package pacer uses the same estimates beside one runner.
package estimator
