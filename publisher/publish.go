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

// headKey is the row that names the newest set.
const headKey = "config/head"

// Head is the content of the head row.
type Head struct {
	Revision cowslipbend.Revision `json:"rev"`
	Digest   cowslipbend.Digest   `json:"digest"`
	// Trail holds the random ids of the last publishes, newest last, so that
	// one whose answer was lost is found also after others have followed.
	Trail []string `json:"trail,omitempty"`
}

// maxTrail bounds the trail.
const maxTrail = 32

// Store is where configurations last.
type Store struct {
	Table   cowslipbend.Table
	Objects cowslipbend.Objects
}

// Read returns the head and the version of its row.
func (s Store) Read(ctx context.Context) (Head, int64, error) {
	var h Head
	row, err := s.Table.Get(ctx, headKey)
	if err != nil || row.Version == 0 {
		return h, 0, err
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, 0, cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the row "+headKey, "head of the configuration is damaged")
	}
	return h, row.Version, nil
}

// Load returns the newest set, encoded.
func (s Store) Load(ctx context.Context, h Head) ([]byte, error) {
	return s.Objects.Get(ctx, object(h.Digest))
}

func object(d cowslipbend.Digest) string { return "config-" + string(d) }

// Publish makes a checked set the newest if the newest is still the base. A
// race gives KindConflict that names the newer revision. A lost answer is
// settled by reading the head again; KindUnknown remains only if that fails.
func (s Store) Publish(ctx context.Context, base cowslipbend.Revision, set *cowslipbend.Set) (cowslipbend.Revision, []byte, error) {
	raw, err := json.Marshal(set)
	if err != nil {
		return 0, nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "set does not encode")
	}
	head, version, err := s.Read(ctx)
	if err != nil {
		return 0, nil, err
	}
	if head.Revision != base {
		return 0, nil, conflict(base, head)
	}
	next := Head{Revision: base + 1, Digest: digest(raw), Trail: append(slices.Clone(head.Trail), cowslipbend.DrawID())}
	next.Trail = next.Trail[max(0, len(next.Trail)-maxTrail):]
	if err := s.Objects.Put(ctx, object(next.Digest), raw); err != nil {
		return 0, nil, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "head does not encode")
	}
	_, err = s.Table.Commit(ctx, cowslipbend.Txn{
		Conds: []cowslipbend.Cond{{Key: headKey, Version: version}},
		Puts:  []cowslipbend.Put{{Key: headKey, Value: value}},
	})
	if err != nil {
		err = s.settle(ctx, next, base, err)
	}
	return next.Revision, raw, err
}

// settle finds out whether a failed commit took effect after all.
func (s Store) settle(ctx context.Context, next Head, base cowslipbend.Revision, cause error) error {
	kind := cowslipbend.KindOf(cause)
	if kind != cowslipbend.KindUnknown && kind != cowslipbend.KindConflict {
		return cause
	}
	head, _, err := s.Read(ctx)
	switch {
	case err != nil:
		return cowslipbend.Failf(cowslipbend.KindUnknown, cause, "compare cowslip status with your set before you publish again", "publishing may have taken effect")
	case slices.Contains(head.Trail, next.Trail[len(next.Trail)-1]):
		return nil
	case head.Revision == base, head.Revision >= next.Revision+maxTrail:
		return cowslipbend.Failf(cowslipbend.KindUnknown, cause, "wait a moment and look at cowslip status", "publishing may still take effect, or has taken it")
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
