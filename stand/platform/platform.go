// Package platform is the stand-in for the platform's table and object store:
// package internal/keeper behind the HTTP protocol of package storer.
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

// maxBody bounds one write.
const maxBody = 64 << 20 // bytes

// Platform serves a table and objects.
type Platform struct {
	Table   *keeper.Table
	Objects *keeper.Objects
	faults  *faults
}

// New returns an empty platform whose faults follow the seed.
func New(seed uint64) *Platform {
	return &Platform{Table: &keeper.Table{}, Objects: &keeper.Objects{}, faults: newFaults(seed)}
}

// Counts is how many reads and writes the table has taken.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// SetFault replaces the fault.
func (p *Platform) SetFault(f Fault) { p.faults.set(f) }

// Handler returns the HTTP protocol, POST /fault, which takes a Fault, and GET
// /counts.
func (p *Platform) Handler() http.Handler {
	all := http.NewServeMux()
	all.Handle("/", p.faults.wrap(p.store()))
	all.HandleFunc("POST /fault", p.takeFault)
	all.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		var c Counts
		c.Reads, c.Writes = p.Table.Counts()
		reply(w, c, nil)
	})
	return all
}

func (p *Platform) takeFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&f); err != nil {
		reply(w, nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "send a fault", "body does not decode"))
		return
	}
	p.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// store returns the protocol of package storer.
func (p *Platform) store() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/commit", p.commit)
	mux.HandleFunc("GET /table/row", p.row)
	mux.HandleFunc("GET /table/rows", p.rows)
	mux.HandleFunc("PUT /objects/{name}", p.put)
	mux.HandleFunc("GET /objects/{name}", p.get)
	mux.HandleFunc("DELETE /objects/{name}", p.remove)
	return mux
}

func reply(w http.ResponseWriter, v any, err error) {
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
		reply(w, nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "send a transaction", "body does not decode"))
		return
	}
	version, err := p.Table.Commit(r.Context(), txn)
	reply(w, storer.CommitReply{Version: version}, err)
}

func (p *Platform) row(w http.ResponseWriter, r *http.Request) {
	row, err := p.Table.Get(r.Context(), r.URL.Query().Get("key"))
	reply(w, row, err)
}

func (p *Platform) rows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		reply(w, nil, cowslipbend.Invalid("limit", "is no count", "give 1 or more"))
		return
	}
	rows, err := p.Table.Scan(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	reply(w, rows, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = p.Objects.Put(r.Context(), r.PathValue("name"), data)
	}
	if err != nil {
		reply(w, nil, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	data, err := p.Objects.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		reply(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	if err := p.Objects.Delete(r.Context(), r.PathValue("name")); err != nil {
		reply(w, nil, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
