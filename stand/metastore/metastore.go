// Package metastore is a stand-in for the platform's metadata store. It speaks
// the published protocol for rows, over a table in memory, and can refuse, be
// silent, or lose answers.
package metastore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/timer"
)

// Bounds of the protocol.
const (
	maxEntries = 100
	maxPage    = 500
	maxBody    = 1 << 20 // bytes
)

// Store is the stand-in.
type Store struct {
	table  keeper.Table
	faults *keeper.Faults
}

// New returns an empty store.
func New() *Store { return &Store{faults: keeper.NewFaults(1, timer.Host{})} }

// Faults returns the switches of the store.
func (s *Store) Faults() *keeper.Faults { return s.faults }

// Table returns the rows, without faults.
func (s *Store) Table() *keeper.Table { return &s.table }

type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   *[]byte `json:"value,omitempty"`
	Ver     int64   `json:"ver,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

func (r *row) key() string { return r.Table + "/" + r.Key }

func wire(r cowslipbend.Row) row {
	table, key, _ := strings.Cut(r.Key, "/")
	return row{Table: table, Key: key, Value: &r.Value, Ver: r.Version}
}

type transaction struct {
	Expected []row `json:"expected"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

type page struct {
	Rows []row            `json:"rows,omitempty"`
	More bool             `json:"has_more"`
	Ver  int64            `json:"ver"`
	Now  cowslipbend.Time `json:"now_ms"`
}

// Handler serves the protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	return mux
}

func answer(w http.ResponseWriter, code int, p page) {
	p.Now = timer.Host{}.Now()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(p) // A client that has left needs no answer.
}

// fail answers with the status of an error; a lost answer breaks the
// connection.
func fail(w http.ResponseWriter, err error) {
	switch cowslipbend.KindOf(err) {
	case cowslipbend.KindConflict:
		answer(w, http.StatusPreconditionFailed, page{})
	case cowslipbend.KindStale:
		answer(w, http.StatusGone, page{})
	case cowslipbend.KindDown:
		answer(w, http.StatusServiceUnavailable, page{})
	default:
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tx transaction
	if err != nil || json.Unmarshal(data, &tx) != nil || !tx.sound() {
		answer(w, http.StatusBadRequest, page{})
		return
	}
	var txn cowslipbend.Txn
	for i := range tx.Expected {
		txn.Conds = append(txn.Conds, cowslipbend.Cond{Key: tx.Expected[i].key(), Version: tx.Expected[i].Ver})
	}
	for i := range tx.Puts {
		txn.Puts = append(txn.Puts, cowslipbend.Put{Key: tx.Puts[i].key(), Value: *tx.Puts[i].Value})
	}
	for i := range tx.Remove {
		txn.Dels = append(txn.Dels, tx.Remove[i].key())
	}
	version, err := s.faults.Table(&s.table).Commit(r.Context(), txn)
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, http.StatusOK, page{Ver: version})
}

// sound reports whether the transaction keeps to the bounds and to one
// partition.
func (t *transaction) sound() bool {
	all := append(append(append([]row(nil), t.Expected...), t.Puts...), t.Remove...)
	for i := range all {
		if all[i].Part != all[0].Part {
			return false
		}
	}
	for i := range t.Puts {
		if t.Puts[i].Value == nil || t.Puts[i].Table == "op" {
			return false
		}
	}
	return len(all) > 0 && len(all) <= maxEntries
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPage
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	rows, err := s.faults.Table(&s.table).Scan(r.Context(), q.Get("table")+"/", "", 1<<30)
	if err != nil {
		fail(w, err)
		return
	}
	var p page
	for _, have := range rows {
		wired := wire(have)
		if wired.Key < q.Get("from") || (q.Get("to") != "" && wired.Key >= q.Get("to")) {
			continue
		}
		if len(p.Rows) == limit {
			p.More = true
			break
		}
		p.Rows = append(p.Rows, wired)
	}
	snap, err := s.table.Snapshot(r.Context(), "none")
	if err != nil {
		fail(w, err)
		return
	}
	p.Ver = snap.Version
	answer(w, http.StatusOK, p)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		answer(w, http.StatusBadRequest, page{})
		return
	}
	if _, err := s.faults.Table(&s.table).Get(r.Context(), "none/none"); err != nil {
		fail(w, err)
		return
	}
	c, err := s.table.Changes(r.Context(), q.Get("table"), after, 0)
	if err != nil {
		fail(w, err)
		return
	}
	p := page{Ver: c.Version}
	for _, have := range c.Rows {
		p.Rows = append(p.Rows, wire(have))
	}
	for _, key := range c.Gone {
		gone := wire(cowslipbend.Row{Key: key})
		gone.Value, gone.Deleted = nil, true
		p.Rows = append(p.Rows, gone)
	}
	answer(w, http.StatusOK, p)
}
