package estimator

import (
	"cmp"
	"encoding/json"
	"slices"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/fitter"
)

// Limits of the stored estimates.
const (
	// maxRowPairs bounds the pairs in a row, those that are known best.
	maxRowPairs = 512
	// maxRowTails bounds the tails in a row.
	maxRowTails = 128
	// maxRowVariance bounds a variance.
	maxRowVariance = 2 * priorVariance
	// maxTail bounds a tail, in milliseconds.
	maxTail = 1e6
)

// storedPair is the encoded estimate of an interference coefficient.
type storedPair struct {
	Serving  string  `json:"s"`
	Filling  string  `json:"f"`
	Mean     float64 `json:"m"`
	Variance float64 `json:"v"`
}

// storedTail is the encoded lowest tail of a serving image, in milliseconds.
type storedTail struct {
	Image string  `json:"i"`
	Tail  float64 `json:"t"`
}

// storedRow is the encoded row.
type storedRow struct {
	Pairs []storedPair `json:"pairs"`
	Tails []storedTail `json:"tails"`
}

// EncodeRow returns the estimates of pairs and the lowest tails for the store, or nil
// if there is no pair that fits into a row of maxRow; zero means that this is not known.
func (e *Estimator) EncodeRow(maxRow cowslipbend.Bytes) ([]byte, error) {
	var row storedRow
	for key, pair := range e.pairs {
		rounded := pair.rounded()
		row.Pairs = append(row.Pairs, storedPair{key.serving, key.filling, rounded.mean, max(rounded.variance, 1/varianceSteps)})
	}
	slices.SortFunc(row.Pairs, func(a, b storedPair) int {
		return cmp.Or(cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filling, b.Filling))
	})
	for image, tail := range e.minTails {
		row.Tails = append(row.Tails, storedTail{image, tail})
	}
	slices.SortFunc(row.Tails, func(a, b storedTail) int { return cmp.Compare(a.Image, b.Image) })
	return fitter.Encode(maxRow, min(len(row.Pairs), maxRowPairs), func(count int) any {
		return storedRow{row.Pairs[:count], row.Tails[:min(len(row.Tails), maxRowTails, count)]}
	})
}

// RestoreRow adds the estimates of a row that EncodeRow has written, and returns the
// number of their pairs. What is known already stays. It adds nothing if any part of
// the row is invalid.
func (e *Estimator) RestoreRow(data []byte) (int, error) {
	var row storedRow
	if err := json.Unmarshal(data, &row); err != nil {
		return 0, cowslipbend.Failf(cowslipbend.KindBroken, err, "none: the estimates are learned again", "interference estimates do not decode")
	}
	if !row.valid() {
		return 0, cowslipbend.Fail(cowslipbend.KindBroken, "interference estimates are out of bounds", "none: the estimates are learned again")
	}
	restored := 0
	for _, stored := range row.Pairs {
		key := imagePair{stored.Serving, stored.Filling}
		if _, ok := e.pairs[key]; ok || len(e.pairs) >= maxPairs {
			continue
		}
		pair := pairEstimate{estimate: estimate{stored.Mean, stored.Variance}}
		pair.publish(e.AdvanceVersion())
		e.setPair(key, pair)
		restored++
	}
	for _, stored := range row.Tails {
		if _, ok := e.minTails[stored.Image]; !ok {
			e.minTails[stored.Image] = stored.Tail
		}
	}
	return restored, nil
}

// valid reports whether the values are in their bounds. JSON has no infinite numbers.
func (r *storedRow) valid() bool {
	return len(r.Pairs) <= maxRowPairs && len(r.Tails) <= maxRowTails &&
		!slices.ContainsFunc(r.Pairs, func(p storedPair) bool {
			return p.Mean < 0 || p.Mean > maxInterference || p.Variance <= 0 || p.Variance > maxRowVariance
		}) &&
		!slices.ContainsFunc(r.Tails, func(t storedTail) bool { return t.Tail <= 0 || t.Tail > maxTail })
}
