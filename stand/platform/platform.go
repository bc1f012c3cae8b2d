// Package platform is a stand-in for the platform's table and object store. It
// serves the stores of package internal/keeper with the HTTP protocol of
// package storer.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/storer"
)

// maxBody is the largest size of a request body.
const maxBody = 64 << 20 // bytes

// Platform serves a table and objects.
type Platform struct {
	Table   *keeper.Table
	Objects *keeper.Objects
	faults  *faults
}

// New returns an empty platform. The seed decides which answers are lost.
func New(seed uint64) *Platform {
	return &Platform{Table: &keeper.Table{}, Objects: &keeper.Objects{}, faults: newFaults(seed)}
}

// Counts is the number of reads and writes that the table has served.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// SetFault replaces the current fault.
func (p *Platform) SetFault(f Fault) { p.faults.setFault(f) }

// Handler serves the HTTP protocol of package storer, POST /fault, which sets
// the Fault in its body, and GET /counts, which returns Counts.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", p.faults.inject(p.storeHandler()))
	mux.HandleFunc("POST /fault", p.handleFault)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		var c Counts
		c.Reads, c.Writes = p.Table.Counts()
		writeReply(w, c, nil)
	})
	return mux
}

func (p *Platform) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&f); err != nil {
		writeReply(w, nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "send a fault", "body cannot be decoded as a fault"))
		return
	}
	p.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// storeHandler serves the protocol of package storer.
func (p *Platform) storeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/commit", p.commit)
	mux.HandleFunc("GET /table/row", p.row)
	mux.HandleFunc("GET /table/rows", p.rows)
	mux.HandleFunc("PUT /objects/{name}", p.put)
	mux.HandleFunc("GET /objects/{name}", p.get)
	mux.HandleFunc("DELETE /objects/{name}", p.remove)
	return mux
}

func writeReply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		server.WriteError(w, cowslipbend.AsError(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn cowslipbend.Txn
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&txn); err != nil {
		writeReply(w, nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "send a transaction", "body cannot be decoded as a transaction"))
		return
	}
	version, err := p.Table.Commit(r.Context(), txn)
	writeReply(w, storer.CommitReply{Version: version}, err)
}

func (p *Platform) row(w http.ResponseWriter, r *http.Request) {
	row, err := p.Table.Get(r.Context(), r.URL.Query().Get("key"))
	writeReply(w, row, err)
}

func (p *Platform) rows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		writeReply(w, nil, cowslipbend.Invalid("limit", "is not a count above zero", "give 1 or more"))
		return
	}
	rows, err := p.Table.Scan(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	writeReply(w, rows, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = p.Objects.Put(r.Context(), r.PathValue("name"), data)
	}
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	data, err := p.Objects.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	if err := p.Objects.Delete(r.Context(), r.PathValue("name")); err != nil {
		writeReply(w, nil, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
