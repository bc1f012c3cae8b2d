// Package administrator implements the entry's side of the operators'
// protocol, JSON over HTTP under /v1:
//
//	GET    /v1/status
//	GET    /v1/config                       the set in force
//	PUT    /v1/config?base=REV              files, as {path: text}
//	GET    /v1/jobs?pool=P
//	POST   /v1/jobs                         Job
//	DELETE /v1/jobs/{id}?pool=P
//	POST   /v1/cancel?pool=P                [id, ...], all or none
//	GET    /v1/workers?pool=P
//	POST   /v1/workers/{id}/drain?pool=P
//	POST   /v1/workers/{id}/undrain?pool=P
//	GET    /v1/burn                         the burn report
//	GET    /v1/domains
//	POST   /v1/domains/{domain}/out
//	POST   /v1/domains/{domain}/back
//
// Requests about a pool are forwarded to the entry that owns it.
package administrator
