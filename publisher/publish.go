package publisher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"cowslipbend.dev"
)

// headKey is the key of the row that names the newest set.
const headKey = "config/head"

// Head is the value of the head row.
type Head struct {
	Revision cowslipbend.Revision `json:"rev"`
	Digest   cowslipbend.Digest   `json:"digest"`
	// RecentPublishes holds the random ids of the last publishes, newest last.
	// A publish whose response was lost finds its id here even after later
	// publishes.
	RecentPublishes []string `json:"trail,omitempty"`
}

// maxRecentPublishes bounds Head.RecentPublishes.
const maxRecentPublishes = 32

// Store holds the published configurations: the head row in the table, the
// sets in the object store.
type Store struct {
	Table   cowslipbend.Table
	Objects cowslipbend.Objects
}

// ReadHead returns the head and the version of its row; both are zero if
// nothing has been published.
func (s Store) ReadHead(ctx context.Context) (Head, int64, error) {
	var h Head
	row, err := s.Table.Get(ctx, headKey)
	if err != nil || row.Version == 0 {
		return h, 0, err
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, 0, cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the row "+headKey, "cannot decode the head of the configuration")
	}
	return h, row.Version, nil
}

// LoadSet returns the encoded set that the head names.
func (s Store) LoadSet(ctx context.Context, h Head) ([]byte, error) {
	return s.Objects.Get(ctx, objectName(h.Digest))
}

func objectName(d cowslipbend.Digest) string { return "config-" + string(d) }

// Publish stores a validated set as the revision after base. If base is no
// longer the newest revision, it returns KindConflict with the newer one. If
// the response to the commit is lost, it reads the head again to learn the
// outcome, and returns KindUnknown only if that does not settle it.
func (s Store) Publish(ctx context.Context, base cowslipbend.Revision, set *cowslipbend.Set) (cowslipbend.Revision, []byte, error) {
	raw, err := json.Marshal(set)
	if err != nil {
		return 0, nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "cannot encode the set as JSON")
	}
	head, version, err := s.ReadHead(ctx)
	if err != nil {
		return 0, nil, err
	}
	if head.Revision != base {
		return 0, nil, conflict(base, head)
	}
	next := Head{Revision: base + 1, Digest: digest(raw), RecentPublishes: append(slices.Clone(head.RecentPublishes), cowslipbend.DrawID())}
	next.RecentPublishes = next.RecentPublishes[max(0, len(next.RecentPublishes)-maxRecentPublishes):]
	if err := s.Objects.Put(ctx, objectName(next.Digest), raw); err != nil {
		return 0, nil, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "cannot encode the configuration head as JSON")
	}
	_, err = s.Table.Commit(ctx, cowslipbend.Txn{
		Conds: []cowslipbend.Cond{{Key: headKey, Version: version}},
		Puts:  []cowslipbend.Put{{Key: headKey, Value: value}},
	})
	if err != nil {
		err = s.resolveCommit(ctx, next, base, err)
	}
	return next.Revision, raw, err
}

// resolveCommit reads the head again to learn whether a commit that failed
// with KindUnknown or KindConflict took effect. It returns nil if it did. The
// outcome stays unknown if the head has not moved yet, or has moved so far
// that the id of this publish may have been dropped.
func (s Store) resolveCommit(ctx context.Context, next Head, base cowslipbend.Revision, cause error) error {
	kind := cowslipbend.KindOf(cause)
	if kind != cowslipbend.KindUnknown && kind != cowslipbend.KindConflict {
		return cause
	}
	head, _, err := s.ReadHead(ctx)
	switch {
	case err != nil:
		return cowslipbend.Failf(cowslipbend.KindUnknown, cause, "compare cowslip status with your set before you publish again", "publishing may have taken effect")
	case slices.Contains(head.RecentPublishes, next.RecentPublishes[len(next.RecentPublishes)-1]):
		return nil
	case head.Revision == base, head.Revision >= next.Revision+maxRecentPublishes:
		return cowslipbend.Failf(cowslipbend.KindUnknown, cause, "wait a moment and check cowslip status", "publishing may have taken effect, or may still do so")
	}
	return conflict(base, head)
}

func conflict(base cowslipbend.Revision, head Head) error {
	return cowslipbend.Fail(cowslipbend.KindConflict,
		fmt.Sprintf("revision %d is in force, the change is based on %d", head.Revision, base),
		"merge the newer revision and publish again")
}

func digest(raw []byte) cowslipbend.Digest {
	sum := sha256.Sum256(raw)
	return cowslipbend.Digest(hex.EncodeToString(sum[:]))
}
