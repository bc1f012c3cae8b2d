// Package cordoner holds which failure domains the operator has taken out of
// service. The request for a domain is a row of the store, which holds until it
// is removed.
//
// It answers the load of an operator who takes a domain out while thousands of
// starts a minute go there: the knowledge must be complete when a new owner of
// the flows begins, must have a known age, and must survive rows that do not
// decode, change histories that were forgotten and answers that arrive late.
//
// It has no network and no clock. Package ruler passes it what it reads of the
// table, package conductor what it reads directly.
package cordoner
