package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the pages and the settings of the platform give them.
const (
	maxEntries = 100
	maxCall    = 1_000_000
	maxPage    = 500
	rowBytes   = 65536
	txTime     = 6 * time.Millisecond
	replyTime  = 4 * time.Millisecond
	history    = 20 * time.Second
)

// storeRow is a row on the wire.
type storeRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   *[]byte `json:"value,omitempty"`
	Version int64   `json:"ver,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

// same reports whether both name the same row.
func (r *storeRow) same(o *storeRow) bool {
	return r.Table == o.Table && r.Part == o.Part && r.Key == o.Key
}

type change struct {
	row storeRow
	at  time.Time
}

// store stands in for the platform's store. It keeps rows in memory.
type store struct {
	record *record

	mu      sync.Mutex
	rows    map[string]*storeRow // by table, part and key
	version int64
	changes []change
	dropped int64 // version of the last change that history no longer has
	changed chan struct{}
	parts   map[string]*sync.Mutex
	// refused counts the transactions that were refused as too large.
	refused int
	largest map[string]int
}

func newStore(r *record) *store {
	return &store{record: r, rows: map[string]*storeRow{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, largest: map[string]int{}}
}

func rowKey(r *storeRow) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// put writes a row as the operator.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []storeRow{{Table: table, Key: key, Value: &value}}, nil)
}

// apply applies a transaction whose conditions hold. The caller holds the lock.
func (s *store) apply(_, puts, remove []storeRow) {
	s.version++
	now := time.Now()
	for _, p := range puts {
		p.Version = s.version
		s.rows[rowKey(&p)] = &p
		s.changes = append(s.changes, change{p, now})
	}
	for _, r := range remove {
		delete(s.rows, rowKey(&r))
		s.changes = append(s.changes, change{storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true}, now})
	}
	for len(s.changes) > 0 && now.Sub(s.changes[0].at) > history {
		s.dropped = s.changes[0].row.Version
		s.changes = s.changes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 { return time.Since(s.record.started).Milliseconds() + 1000 }

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.Commit, s.commit)
	mux.HandleFunc("GET "+wire.Get, s.get)
	mux.HandleFunc("GET "+wire.Feed, s.feed)
	return mux
}

func (s *store) page(rows []storeRow, more bool) map[string]any {
	if rows == nil {
		rows = []storeRow{}
	}
	return map[string]any{"rows": rows, "has_more": more, "ver": s.version, "now_ms": s.now()}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	time.Sleep(replyTime)
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var tx struct{ Expected, Puts, Remove []storeRow }
	if json.Unmarshal(data, &tx) != nil {
		reply(w, http.StatusBadRequest, s.page(nil, false))
		return
	}
	all := slices.Concat(tx.Expected, tx.Puts, tx.Remove)
	bad := len(all) == 0 || len(all) > maxEntries || len(data) > maxCall
	for i := range all {
		bad = bad || all[i].Part != all[0].Part
	}
	s.mu.Lock()
	for i := range tx.Puts {
		p := &tx.Puts[i]
		if p.Value == nil {
			bad = true
			continue
		}
		if len(*p.Value) > s.largest[p.Table] {
			s.largest[p.Table] = len(*p.Value)
		}
		if len(*p.Value) > rowBytes {
			bad = true
			s.record.add("store refuses a row of %d bytes: table %s, key %s", len(*p.Value), p.Table, p.Key)
		}
	}
	if bad {
		s.refused++
		s.record.add("store refuses a transaction of %d entries and %d bytes", len(all), len(data))
		s.mu.Unlock()
		reply(w, http.StatusBadRequest, s.page(nil, false))
		return
	}
	part := s.parts[all[0].Part]
	if part == nil {
		part = &sync.Mutex{}
		s.parts[all[0].Part] = part
	}
	s.mu.Unlock()
	part.Lock()
	time.Sleep(txTime)
	s.mu.Lock()
	held := true
	var current []storeRow
	for i := range tx.Expected {
		have := storeRow{Table: tx.Expected[i].Table, Part: tx.Expected[i].Part, Key: tx.Expected[i].Key}
		if row := s.rows[rowKey(&tx.Expected[i])]; row != nil {
			have = *row
		}
		held = held && have.Version == tx.Expected[i].Version
		current = append(current, have)
	}
	code, page := http.StatusOK, map[string]any(nil)
	if held {
		s.apply(tx.Expected, tx.Puts, tx.Remove)
		page = s.page(nil, false)
	} else {
		code, page = http.StatusPreconditionFailed, s.page(current, false)
	}
	s.mu.Unlock()
	part.Unlock()
	reply(w, code, page)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(replyTime)
	q := r.URL.Query()
	limit := maxPage
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var found []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			found = append(found, *row)
		}
	}
	slices.SortFunc(found, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(found) && n < limit {
		if size += len(*found[n].Value)*4/3 + 150; size > maxCall && n > 0 {
			break
		}
		n++
	}
	page := s.page(found[:n], n < len(found))
	s.mu.Unlock()
	reply(w, http.StatusOK, page)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(replyTime)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		if after < s.dropped {
			page := s.page(nil, false)
			s.mu.Unlock()
			reply(w, http.StatusGone, page)
			return
		}
		var found []storeRow
		size := 0
		version := s.version
		for i := range s.changes {
			c := &s.changes[i].row
			if c.Version <= after || c.Table != q.Get("table") {
				continue
			}
			if c.Value != nil {
				size += len(*c.Value)*4/3 + 150
			}
			if len(found) >= maxPage || (size > maxCall && len(found) > 0 && c.Version > found[len(found)-1].Version) {
				version = found[len(found)-1].Version
				break
			}
			found = append(found, *c)
		}
		page := s.page(found, false)
		page["ver"] = version
		changed := s.changed
		s.mu.Unlock()
		if len(found) > 0 || over {
			reply(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
