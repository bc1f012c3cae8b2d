// Package registrar is the agent's side of the protocol with the endpoints of
// its host. An endpoint announces itself every few seconds and withdraws when
// it leaves:
//
//	POST   /announce        Announcement   204
//	DELETE /announce/{id}                  204
//
// What endpoints announce is passed to package admitter.
package registrar

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
	"cowslipbend.dev/internal/server"
)

// maxBody bounds one announcement.
const maxBody = 16 << 10 // bytes

// Register adds the protocol's routes to the mux.
func Register(mux *http.ServeMux, gate *admitter.Gate) {
	mux.HandleFunc("POST /announce", func(w http.ResponseWriter, r *http.Request) {
		reply(w, announce(gate, http.MaxBytesReader(w, r.Body, maxBody)))
	})
	mux.HandleFunc("DELETE /announce/{id...}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, gate.Withdraw(cowslipbend.EndpointID(r.PathValue("id"))))
	})
}

func reply(w http.ResponseWriter, err error) {
	if err != nil {
		server.WriteError(w, server.Join(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func announce(gate *admitter.Gate, body io.Reader) error {
	a, err := Decode(body)
	if err != nil {
		return err
	}
	return gate.Announce(a)
}

// Decode reads one announcement strictly and checks it.
func Decode(body io.Reader) (admitter.Announcement, error) {
	var a admitter.Announcement
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return a, cowslipbend.Failf(cowslipbend.KindInvalid, err, "send JSON with id, service, url, slots and conns", "announcement does not decode")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return a, cowslipbend.Fail(cowslipbend.KindInvalid, "announcement is followed by more", "send one announcement in a request")
	}
	return a, a.Check()
}
