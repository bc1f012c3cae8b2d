// Package registrar is the agent's side of the protocol by which the endpoints of
// its host register. An endpoint announces itself every few seconds and withdraws
// when it shuts down:
//
//	POST   /announce        Announcement   204
//	DELETE /announce/{id}                  204
//
// Announcements are passed to package admitter.
package registrar
