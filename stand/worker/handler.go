package worker

import (
	"encoding/json"
	"net/http"

	"cowslipbend.dev"
	"cowslipbend.dev/executor"
	"cowslipbend.dev/internal/server"
)

// maxOrderBytes is the largest accepted body of an order.
const maxOrderBytes = 1 << 20

// Handler serves the HTTP protocol of package executor, and POST /fault, which
// sets a Fault given as JSON.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tasks/start", handleOrder(func(r *http.Request, s cowslipbend.Start) error { return w.Start(r.Context(), s) }))
	mux.HandleFunc("POST /tasks/lease", handleOrder(func(r *http.Request, m map[cowslipbend.TaskID]cowslipbend.Time) error { return w.Lease(r.Context(), m) }))
	mux.HandleFunc("POST /tasks/throttle", handleOrder(func(r *http.Request, c executor.TaskRequest) error { return w.Throttle(r.Context(), c.Task, c.Percent) }))
	mux.HandleFunc("POST /tasks/evict", handleOrder(func(r *http.Request, c executor.TaskRequest) error { return w.Evict(r.Context(), c.Task, c.Attempt) }))
	mux.HandleFunc("POST /tasks/stop", handleOrder(func(r *http.Request, c executor.TaskRequest) error { return w.Stop(r.Context(), c.Task, c.Attempt) }))
	mux.HandleFunc("POST /tasks/forget", handleOrder(func(r *http.Request, c executor.TaskRequest) error { return w.Forget(r.Context(), c.Task, c.Attempt) }))
	mux.HandleFunc("GET /status", func(rw http.ResponseWriter, r *http.Request) {
		s, err := w.Status(r.Context())
		if err != nil {
			server.WriteError(rw, cowslipbend.AsError(err))
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(s)
	})
	orderHandler := w.blockWhileUnresponsive(mux)
	root := http.NewServeMux()
	root.Handle("/", orderHandler)
	root.HandleFunc("POST /fault", handleOrder(func(_ *http.Request, f Fault) error {
		w.SetFault(f)
		return nil
	}))
	return root
}

// handleOrder decodes the JSON body of a request, passes it to f, and answers
// with status 204 or the error.
func handleOrder[T any](f func(*http.Request, T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&v); err != nil {
			server.WriteError(w, cowslipbend.Failf(cowslipbend.KindInvalid, err, "send the JSON that the protocol of package executor documents", "body of the order is not valid JSON"))
			return
		}
		if err := f(r, v); err != nil {
			server.WriteError(w, cowslipbend.AsError(err))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
