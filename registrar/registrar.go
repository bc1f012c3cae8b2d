package registrar

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/internal/server"
)

// maxAnnouncementSize bounds the body of an announcement.
const maxAnnouncementSize = 16 << 10 // bytes

// Register adds the routes of the protocol to the mux.
func Register(mux *http.ServeMux, gate *admitter.Gate) {
	mux.HandleFunc("POST /announce", func(w http.ResponseWriter, r *http.Request) {
		writeReply(w, announce(gate, http.MaxBytesReader(w, r.Body, maxAnnouncementSize)))
	})
	mux.HandleFunc("DELETE /announce/{id...}", func(w http.ResponseWriter, r *http.Request) {
		writeReply(w, gate.Withdraw(cowslipbend.EndpointID(r.PathValue("id"))))
	})
}

func writeReply(w http.ResponseWriter, err error) {
	if err != nil {
		server.WriteError(w, server.CombineErrors(err))
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

// Decode decodes one announcement, refuses unknown fields and trailing data, and
// checks the values.
func Decode(body io.Reader) (admitter.Announcement, error) {
	var a admitter.Announcement
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	err := dec.Decode(&a)
	if refusal := bounder.Refusal(err); refusal != nil {
		return a, refusal
	}
	if err != nil {
		return a, cowslipbend.Failf(cowslipbend.KindInvalid, err, "send JSON with id, service, url, slots and conns", "announcement cannot be decoded")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return a, cowslipbend.Fail(cowslipbend.KindInvalid, "announcement is followed by more data", "send one announcement per request")
	}
	return a, a.Check()
}
