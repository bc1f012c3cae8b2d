// Package admitter implements the admission gate between an agent and the
// endpoints on its host. It alone decides whether a request may run: it counts
// slots and connections, records the id of each accepted request, keeps
// tombstones of voided ids, and keeps the answers of non-idempotent requests
// for repeats. Package forwarder proxies the accepted requests to the
// endpoints; package registrar receives the announcements of endpoints.
package admitter
