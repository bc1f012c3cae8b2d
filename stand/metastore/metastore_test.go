package metastore_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
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
