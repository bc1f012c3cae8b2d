// Package metastore is a stand-in for the platform's metadata store. It serves
// the published protocol for rows from a table in memory. Injected faults make
// it refuse requests, leave them without effect or answer, or lose answers.
package metastore

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/timer"
)

// Limits of the protocol.
const (
	maxRows = 100
	maxPage = 500
	maxBody = 1_000_000 // bytes, the lower reading of 1 MB
	maxName = 200       // bytes of a table, a part or a key
	// defaultMaxRow is row_bytes of the known deployments.
	defaultMaxRow = 64 * cowslipbend.KB
)

// Store serves the rows of one table in memory.
type Store struct {
	table  keeper.Table
	faults *keeper.Faults
	maxRow cowslipbend.Bytes

	mu sync.Mutex
	// refusals tells why transactions were refused as invalid.
	refusals []string
}

// New returns an empty store.
func New() *Store {
	return &Store{faults: keeper.NewFaults(1, timer.Host{}), maxRow: defaultMaxRow}
}

// SetMaxRow sets the largest value of a row that a client may put. It must be called before
// the store serves.
func (s *Store) SetMaxRow(size cowslipbend.Bytes) { s.maxRow = size }

// Refusals tells why transactions were refused as invalid.
func (s *Store) Refusals() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refusals)
}

// refuse answers a transaction that is not valid.
func (s *Store) refuse(w http.ResponseWriter, why string) {
	s.mu.Lock()
	s.refusals = append(s.refusals, why)
	s.mu.Unlock()
	writePage(w, http.StatusBadRequest, page{})
}

// Faults returns the faults that are injected into requests.
func (s *Store) Faults() *keeper.Faults { return s.faults }

// Table returns the table, access to which is not subject to faults.
func (s *Store) Table() *keeper.Table { return &s.table }

type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   *[]byte `json:"value,omitempty"`
	Ver     int64   `json:"ver,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

func (r *row) fullKey() string { return r.Table + "/" + r.Key }

func toWire(r cowslipbend.Row) row {
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

// Handler serves the protocol for rows.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	return mux
}

func writePage(w http.ResponseWriter, code int, p page) {
	p.Now = timer.Host{}.Now()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(p) // The client may have disconnected.
}

// writeError answers with the status for the kind of error. It breaks the
// connection for any other kind, such as that of a lost answer.
func writeError(w http.ResponseWriter, err error) {
	switch cowslipbend.KindOf(err) {
	case cowslipbend.KindConflict:
		writePage(w, http.StatusPreconditionFailed, page{})
	case cowslipbend.KindStale:
		writePage(w, http.StatusGone, page{})
	case cowslipbend.KindDown:
		writePage(w, http.StatusServiceUnavailable, page{})
	default:
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		s.refuse(w, "body is too large")
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler) // The client ended in the middle of its request.
	}
	var tx transaction
	if err := json.Unmarshal(data, &tx); err != nil {
		s.refuse(w, "body does not decode: "+err.Error())
		return
	}
	if fault := tx.fault(s.maxRow); fault != "" {
		s.refuse(w, fault)
		return
	}
	var txn cowslipbend.Txn
	for i := range tx.Expected {
		txn.Conds = append(txn.Conds, cowslipbend.Cond{Key: tx.Expected[i].fullKey(), Version: tx.Expected[i].Ver})
	}
	for i := range tx.Puts {
		txn.Puts = append(txn.Puts, cowslipbend.Put{Key: tx.Puts[i].fullKey(), Value: *tx.Puts[i].Value})
	}
	for i := range tx.Remove {
		txn.Dels = append(txn.Dels, tx.Remove[i].fullKey())
	}
	version, err := s.faults.Table(&s.table).Commit(r.Context(), txn)
	if err != nil {
		writeError(w, err)
		return
	}
	writePage(w, http.StatusOK, page{Ver: version})
}

// fault tells why the transaction is not valid: it has 1 to maxRows rows, all in one
// partition and with names of at most maxName bytes, and every put has a value of at
// most maxRow bytes and is not in the operator's table.
func (t *transaction) fault(maxRow cowslipbend.Bytes) string {
	all := append(append(append([]row(nil), t.Expected...), t.Puts...), t.Remove...)
	if len(all) == 0 || len(all) > maxRows {
		return fmt.Sprintf("%d rows", len(all))
	}
	for i := range all {
		r := &all[i]
		switch {
		case r.Part != all[0].Part:
			return fmt.Sprintf("parts %q and %q", all[0].Part, r.Part)
		case max(len(r.Table), len(r.Part), len(r.Key)) > maxName:
			return fmt.Sprintf("a name of row %.40s is too long", r.fullKey())
		}
	}
	for i := range t.Puts {
		p := &t.Puts[i]
		switch {
		case p.Value == nil:
			return "row " + p.fullKey() + " has no value"
		case cowslipbend.Bytes(len(*p.Value)) > maxRow:
			return fmt.Sprintf("row %s has %d bytes", p.fullKey(), len(*p.Value))
		case p.Table == "op":
			return "row " + p.fullKey() + " is the operator's"
		}
	}
	return ""
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPage
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	if _, err := s.faults.Table(&s.table).Get(r.Context(), "none/none"); err != nil {
		writeError(w, err)
		return
	}
	snapshot, err := s.table.Snapshot(r.Context(), q.Get("table"))
	if err != nil {
		writeError(w, err)
		return
	}
	p := page{Ver: snapshot.Version}
	for _, stored := range snapshot.Rows {
		out := toWire(stored)
		if out.Key < q.Get("from") || (q.Get("to") != "" && out.Key >= q.Get("to")) {
			continue
		}
		if len(p.Rows) == limit {
			p.More = true
			break
		}
		p.Rows = append(p.Rows, out)
	}
	writePage(w, http.StatusOK, p)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		writePage(w, http.StatusBadRequest, page{})
		return
	}
	if _, err := s.faults.Table(&s.table).Get(r.Context(), "none/none"); err != nil {
		writeError(w, err)
		return
	}
	c, err := s.table.Changes(r.Context(), q.Get("table"), after, 0)
	if err != nil {
		writeError(w, err)
		return
	}
	p := page{Ver: c.Version}
	for _, changed := range c.Rows {
		p.Rows = append(p.Rows, toWire(changed))
	}
	for _, key := range c.Gone {
		deleted := toWire(cowslipbend.Row{Key: key})
		deleted.Value, deleted.Deleted = nil, true
		p.Rows = append(p.Rows, deleted)
	}
	writePage(w, http.StatusOK, p)
}
