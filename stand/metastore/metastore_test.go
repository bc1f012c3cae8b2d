package metastore_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/metastore"
)

// TestRowsOfOneMoment guards against a page that names a version newer than its rows: who
// goes on from there misses the changes in between.
func TestRowsOfOneMoment(t *testing.T) {
	for range 10 {
		readWhileCommitting(t, metastore.New())
	}
}

func readWhileCommitting(t *testing.T, s *metastore.Store) {
	t.Helper()
	const commits = 1000
	var group errgroup.Group
	group.Go(func() error {
		for i := range commits {
			put := cowslipbend.Put{Key: fmt.Sprintf("work/%d", i), Value: []byte("{}")}
			if _, err := s.Table().Commit(t.Context(), cowslipbend.Txn{Puts: []cowslipbend.Put{put}}); err != nil {
				return err
			}
		}
		return nil
	})
	for version := 0; version < 400; {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/-/rows-get?table=work&limit=500", nil))
		var page struct {
			Rows []struct{}
			Ver  int
		}
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &page))
		version = page.Ver // Each commit adds one row.
		assert.Equal(t, len(page.Rows), min(version, 500))
	}
	assert.NilError(t, group.Wait())
}

// TestLimits guards against a stand-in that takes what the platform's store refuses, so that
// no test sees a row that outgrows it.
func TestLimits(t *testing.T) {
	put := func(key string, size int) map[string]any {
		return map[string]any{"table": "run", "part": "run", "key": key, "value": make([]byte, size)}
	}
	const maxRow = 1000
	for _, c := range []struct {
		name string
		code int
		puts []map[string]any
	}{
		{"a row of the largest size", http.StatusOK, []map[string]any{put("a", maxRow)}},
		{"a row that is larger", http.StatusBadRequest, []map[string]any{put("a", maxRow), put("b", maxRow+1)}},
		{"a key of the greatest length", http.StatusOK, []map[string]any{put(strings.Repeat("k", 200), 1)}},
		{"a key that is longer", http.StatusBadRequest, []map[string]any{put("a", 1), put(strings.Repeat("k", 201), 1)}},
		{"as many rows as a call may have", http.StatusOK, slices.Repeat([]map[string]any{put("a", 1)}, 100)},
		{"one more", http.StatusBadRequest, slices.Repeat([]map[string]any{put("a", 1)}, 101)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := metastore.New()
			s.SetMaxRow(maxRow)
			assertCommit(t, s, c.puts, c.code)
		})
	}
	t.Run("more than a call may have in all", func(t *testing.T) {
		const rows = 15
		large := put("a", 50_000)
		assertCommit(t, metastore.New(), slices.Repeat([]map[string]any{large}, rows-1), http.StatusOK)
		assertCommit(t, metastore.New(), slices.Repeat([]map[string]any{large}, rows), http.StatusBadRequest)
	})
}

// assertCommit puts rows, and asserts that a refused transaction has no effect.
func assertCommit(t *testing.T, s *metastore.Store, puts []map[string]any, code int) {
	t.Helper()
	body, err := json.Marshal(map[string]any{"puts": puts})
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/-/rows-tx", bytes.NewReader(body)))
	assert.Equal(t, w.Code, code)
	rows, err := s.Table().Scan(t.Context(), "run/", "", 1)
	assert.NilError(t, err)
	assert.Equal(t, len(rows) == 0, code != http.StatusOK)
	assert.Equal(t, len(s.Refusals()) == 0, code == http.StatusOK)
}

// TestBrokenRequest guards against a client that ends in the middle of a request which counts as one
// that sent an invalid transaction.
func TestBrokenRequest(t *testing.T) {
	s := metastore.New()
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = c.Write([]byte("POST /-/rows-tx HTTP/1.1\r\nHost: store\r\nContent-Length: 100\r\n\r\n{\"puts\":["))
	assert.NilError(t, err)
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	_, _ = io.ReadAll(c) // Until the store has given the request up.
	assert.Equal(t, len(s.Refusals()), 0)
}
