// Package tasker is the agent's table of tasks. It accepts orders from the owner
// of the pool, refuses outdated ones and those that exceed the worker, controls
// the worker through cowslipbend.Machine, holds the batch lease, and keeps
// reports until the owner has acknowledged them.
package tasker
