package predictor

import (
	"encoding/json"
	"math"
	"slices"
	"strings"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/fitter"
)

// Limits of the stored estimates.
const (
	// maxRowClasses bounds the classes in a row, those with the newest samples. Such
	// a row has about 25 kB.
	maxRowClasses = 256
	// maxVariance bounds a variance.
	maxVariance = 100
)

// ClassLength is the encoded estimate of a class.
type ClassLength struct {
	Class
	Weight    float64          `json:"w"`
	Length    float64          `json:"l"`
	Spread    float64          `json:"s"`
	Excess    float64          `json:"e,omitempty"`
	Error     float64          `json:"d"`
	UpdatedAt cowslipbend.Time `json:"t"`
}

// EncodeRow returns the estimates of classes for the store, whose rows have at most maxRow, or
// nil if there are none. Zero means that this is not known.
func (p *Predictor) EncodeRow(maxRow cowslipbend.Bytes) ([]byte, error) {
	rows := make([]ClassLength, 0, len(p.classes))
	for key, c := range p.classes {
		rows = append(rows, c.encode(key))
	}
	slices.SortFunc(rows, func(a, b ClassLength) int {
		if a.UpdatedAt != b.UpdatedAt {
			return int(min(max(b.UpdatedAt.Sub(a.UpdatedAt), -1), 1))
		}
		return strings.Compare(string(a.Queue)+"\x00"+a.Image, string(b.Queue)+"\x00"+b.Image)
	})
	return fitter.Encode(maxRow, min(len(rows), maxRowClasses), func(count int) any { return rows[:count] })
}

func (c *class) encode(key Class) ClassLength {
	return ClassLength{
		Class: key, Weight: round(c.weight), Length: round(c.length.mean), Spread: round(c.length.variance),
		Excess: round(c.excess.mean), Error: round(c.excess.variance), UpdatedAt: c.updatedAt,
	}
}

// ClassLength returns the estimate of a class, or false if nothing is known of it.
func (p *Predictor) ClassLength(key Class) (ClassLength, bool) {
	c := p.classes[key]
	if c == nil {
		return ClassLength{}, false
	}
	return c.encode(key), true
}

// Range returns the expected length of the tasks of a step of the class, less and more
// the standard deviations. It is unlimited if the estimate is invalid.
func (r *ClassLength) Range(declared cowslipbend.Span, deviations float64) (low, high cowslipbend.Span) {
	p := New()
	if !r.valid() {
		return 0, math.MaxInt32
	}
	p.classes[r.Class] = &class{weight: r.Weight, length: estimate{r.Length, r.Spread}, excess: estimate{r.Excess, r.Error}, updatedAt: r.UpdatedAt}
	mean, variance := p.expect(r.Class, declared, nil, r.UpdatedAt)
	deviation := deviations * math.Sqrt(variance)
	toSpan := func(log float64) cowslipbend.Span { return cowslipbend.Span(math.Exp(min(log, maxLog))) }
	return toSpan(mean - deviation), toSpan(mean + deviation)
}

// round rounds to thousandths, which is far below the error of an estimate.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// RestoreRow adds the estimates of a row that EncodeRow has written, and returns their
// number. It adds none if any part of the row is invalid. The time is that of the
// store, which no sample may exceed.
func (p *Predictor) RestoreRow(data []byte, now cowslipbend.Time) (int, error) {
	var rows []ClassLength
	if err := json.Unmarshal(data, &rows); err != nil {
		return 0, cowslipbend.Failf(cowslipbend.KindBroken, err, "none: the estimates are learned again", "learned lengths do not decode")
	}
	for i := range rows {
		if !rows[i].valid() {
			return 0, cowslipbend.Fail(cowslipbend.KindBroken, "learned lengths are out of bounds", "none: the estimates are learned again")
		}
	}
	restored := 0
	for i := range rows[:min(len(rows), maxRowClasses)] {
		r := &rows[i]
		if p.classes[r.Class] != nil {
			continue
		}
		p.makeRoom()
		p.classes[r.Class] = &class{
			weight: r.Weight, length: estimate{r.Length, r.Spread}, excess: estimate{r.Excess, r.Error}, updatedAt: min(r.UpdatedAt, now),
		}
		restored++
	}
	return restored, nil
}

// valid reports whether the values are in their bounds. JSON has no infinite numbers.
func (r *ClassLength) valid() bool {
	const minVariance = minSpread * minSpread / 2 // Rounding may reduce it.
	inBounds := func(variance float64) bool { return variance >= minVariance && variance <= maxVariance }
	return r.UpdatedAt >= 0 && r.Weight >= 0 && r.Weight <= maxWeight && math.Abs(r.Length) <= maxLog && math.Abs(r.Excess) <= maxLog &&
		inBounds(r.Spread) && inBounds(r.Error)
}
