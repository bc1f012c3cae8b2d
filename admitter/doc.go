// Package admitter is the agent's gate before its endpoints. It alone decides
// whether a request may run: it counts slots and connections, records the id
// of each accepted request, keeps tombstones of voided ones, and keeps the
// answers of non-idempotent requests for repeats. Package forwarder carries
// the accepted requests; package registrar brings the endpoints.
package admitter
