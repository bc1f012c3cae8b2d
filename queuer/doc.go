// Package queuer orders the tasks of a pool that wait for a worker: services
// first, then urgent, normal and spare batch jobs; within a tier by each team's
// weighted dominant share of the pool, and within a team by the submission time
// of the job. It applies quotas and back-off, but does not choose workers.
//
// Package scheduler keeps a Queue in step with the journal's state.
package queuer
