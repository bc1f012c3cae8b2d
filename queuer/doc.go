// Package queuer orders the tasks of a pool that wait for a worker: services
// first, then urgent, normal and spare batch; among teams by their weighted
// dominant share of the pool, within a team by the age of the job. It holds
// quotas and back-off, and knows nothing of workers.
//
// Package scheduler keeps a Queue beside the journal's state.
package queuer
