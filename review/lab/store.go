package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	rowBytes     = 65536
	keyBytes     = 200
	txBytes      = 1 << 20
	txRows       = 100
	pageRows     = 500
	pageBytes    = 1 << 20
	historySpan  = 20 * time.Second
	txTime       = 6 * time.Millisecond
	readTime     = 4 * time.Millisecond
	feedInterval = 2 * time.Millisecond
)

// storeRow is a row on the wire.
type storeRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   *[]byte `json:"value,omitempty"`
	Ver     int64   `json:"ver"`
	Deleted bool    `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (r *storeRow) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's metadata store. It keeps rows in memory.
type store struct {
	world *world

	mu      sync.Mutex
	started time.Time
	ver     int64
	rows    map[rowID]storeRow
	changes []change
	// lastWriter is the process that last wrote under a condition on a row that exists.
	lastWriter int
}

type change struct {
	at  time.Time
	row storeRow
}

func newStore(w *world) *store {
	return &store{world: w, started: time.Now(), rows: map[rowID]storeRow{}}
}

// handler serves the store to the process with the number.
func (s *store) handler(process int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire["path.tx"], func(w http.ResponseWriter, r *http.Request) { s.commit(w, r, process) })
	mux.HandleFunc("GET "+wire["path.get"], s.get)
	mux.HandleFunc("GET "+wire["path.feed"], s.feed)
	return mux
}

type storePage struct {
	Rows []storeRow `json:"rows"`
	More bool       `json:"has_more"`
	Ver  int64      `json:"ver"`
	Now  int64      `json:"now_ms"`
}

func (s *store) reply(w http.ResponseWriter, code int, p storePage) {
	p.Now = time.Since(s.started).Milliseconds() + 1000
	if p.Rows == nil {
		p.Rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(p) // The caller may have left.
}

type storeTx struct {
	Expected []storeRow `json:"expected"`
	Puts     []storeRow `json:"puts"`
	Remove   []storeRow `json:"remove"`
}

// invalid returns why the transaction breaks a limit of the store, or "".
func (t *storeTx) invalid() string {
	all := slices.Concat(t.Expected, t.Puts, t.Remove)
	if len(all) == 0 || len(all) > txRows {
		return "number of entries"
	}
	for i := range all {
		if all[i].Part != all[0].Part {
			return "several parts"
		}
		if max(len(all[i].Table), len(all[i].Part), len(all[i].Key)) > keyBytes {
			return "long key"
		}
	}
	for i := range t.Puts {
		if t.Puts[i].Value == nil || t.Puts[i].Table == wire["config.table"] {
			return "no value, or a table of the platform"
		}
		if n := len(*t.Puts[i].Value); n > rowBytes {
			return "row of " + strconv.Itoa(n) + " bytes"
		}
	}
	return ""
}

// reject refuses a call that is not valid.
func (s *store) reject(w http.ResponseWriter, reason string) {
	s.world.note("reject", "the store refuses a call: %s", reason)
	s.reply(w, http.StatusBadRequest, storePage{})
}

func (s *store) commit(w http.ResponseWriter, r *http.Request, process int) {
	data, err := io.ReadAll(io.LimitReader(r.Body, txBytes+1))
	var tx storeTx
	switch {
	case err != nil:
		return
	case len(data) > txBytes:
		s.reject(w, "transaction above 1 MB")
		return
	case json.Unmarshal(data, &tx) != nil:
		s.reject(w, "not decodable")
		return
	}
	if reason := tx.invalid(); reason != "" {
		s.reject(w, reason)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storeRow
	conflict := false
	for i := range tx.Expected {
		row, ok := s.rows[tx.Expected[i].id()]
		if ok {
			current = append(current, row)
		}
		conflict = conflict || row.Ver != tx.Expected[i].Ver
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, storePage{Rows: current, Ver: s.ver})
		return
	}
	if slices.ContainsFunc(tx.Expected, func(r storeRow) bool { return r.Ver != 0 }) {
		s.lastWriter = process
	}
	s.apply(tx.Puts, tx.Remove)
	s.reply(w, http.StatusOK, storePage{Ver: s.ver})
}

// apply writes rows as one transaction. The caller holds the lock.
func (s *store) apply(puts, remove []storeRow) {
	s.ver++
	now := time.Now()
	for _, row := range puts {
		row.Ver = s.ver
		s.rows[row.id()] = row
		s.changes = append(s.changes, change{now, row})
	}
	for _, row := range remove {
		delete(s.rows, row.id())
		row.Value, row.Ver, row.Deleted = nil, s.ver, true
		s.changes = append(s.changes, change{now, row})
	}
	old := 0
	for old < len(s.changes) && now.Sub(s.changes[old].at) > historySpan {
		old++
	}
	s.changes = s.changes[old:]
}

// put writes a row of the operator.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: &value}}, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for id, row := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return cmp.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < min(limit, len(rows)) && (n == 0 || size+len(*rows[n].Value)*4/3 < pageBytes) {
		size += len(*rows[n].Value) * 4 / 3
		n++
	}
	s.reply(w, http.StatusOK, storePage{Rows: rows[:n], More: n < len(rows), Ver: s.ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		s.reject(w, "feed without after or wait_ms")
		return
	}
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; {
		p, gone := s.changesAfter(q.Get("table"), after)
		switch {
		case gone:
			s.reply(w, http.StatusGone, p)
			return
		case len(p.Rows) > 0 || !time.Now().Before(end):
			s.reply(w, http.StatusOK, p)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(feedInterval):
		}
	}
}

// changesAfter returns the changes of a table, or that its history is no longer there.
func (s *store) changesAfter(table string, after int64) (p storePage, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Ver = s.ver
	if len(s.changes) > 0 && after+1 < s.changes[0].row.Ver && after < s.ver {
		return p, true
	}
	for _, c := range s.changes {
		if c.row.Ver > after && c.row.Table == table {
			p.Rows = append(p.Rows, c.row)
		}
	}
	return p, false
}
