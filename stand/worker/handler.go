package worker

import (
	"encoding/json"
	"net/http"

	"cowslipbend.dev"
	"cowslipbend.dev/executor"
	"cowslipbend.dev/internal/server"
)

// maxBody bounds one order.
const maxBody = 1 << 20 // bytes

// Handler returns the HTTP protocol of package executor, and POST /fault,
// which takes a Fault.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tasks/start", order(func(r *http.Request, s cowslipbend.Start) error { return w.Start(r.Context(), s) }))
	mux.HandleFunc("POST /tasks/lease", order(func(r *http.Request, m map[cowslipbend.TaskID]cowslipbend.Time) error { return w.Lease(r.Context(), m) }))
	mux.HandleFunc("POST /tasks/throttle", order(func(r *http.Request, c executor.TaskRequest) error { return w.Throttle(r.Context(), c.Task, c.Percent) }))
	mux.HandleFunc("POST /tasks/evict", order(func(r *http.Request, c executor.TaskRequest) error { return w.Evict(r.Context(), c.Task, c.Attempt) }))
	mux.HandleFunc("POST /tasks/stop", order(func(r *http.Request, c executor.TaskRequest) error { return w.Stop(r.Context(), c.Task, c.Attempt) }))
	mux.HandleFunc("POST /tasks/forget", order(func(r *http.Request, c executor.TaskRequest) error { return w.Forget(r.Context(), c.Task, c.Attempt) }))
	mux.HandleFunc("GET /status", func(rw http.ResponseWriter, r *http.Request) {
		s, err := w.Status(r.Context())
		if err != nil {
			server.WriteError(rw, cowslipbend.AsError(err))
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(s)
	})
	orders := w.hold(mux)
	all := http.NewServeMux()
	all.Handle("/", orders)
	all.HandleFunc("POST /fault", order(func(_ *http.Request, f Fault) error {
		w.SetFault(f)
		return nil
	}))
	return all
}

// order decodes a body and answers with the result of f.
func order[T any](f func(*http.Request, T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&v); err != nil {
			server.WriteError(w, cowslipbend.Failf(cowslipbend.KindInvalid, err, "send the documented form", "order does not decode"))
			return
		}
		if err := f(r, v); err != nil {
			server.WriteError(w, cowslipbend.AsError(err))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
