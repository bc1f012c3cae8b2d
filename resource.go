package cowslipbend

import (
	"encoding/json"
	"strconv"
	"strings"
)

// Millicores counts thousandths of a processor core.
type Millicores int64

// BitRate is the speed of a link in bits a second.
type BitRate int64

// Mbit is a million bits a second.
const Mbit BitRate = 1_000_000

// Core is one processor core.
const Core Millicores = 1000

// Bytes counts bytes of memory or data.
type Bytes int64

// Common sizes, in powers of 1024.
const (
	KB Bytes = 1 << 10
	MB Bytes = 1 << 20
	GB Bytes = 1 << 30
)

// Accels is a number of accelerators.
type Accels int64

// CPUTime counts used processor time in core-milliseconds.
type CPUTime int64

// Resources is an amount of each kind of resource of a worker.
type Resources struct {
	CPU   Millicores `json:"cpu"`
	Mem   Bytes      `json:"mem"`
	Accel Accels     `json:"accel,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Mem: r.Mem + o.Mem, Accel: r.Accel + o.Accel}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Mem: r.Mem - o.Mem, Accel: r.Accel - o.Accel}
}

// Times returns n times the amount.
func (r Resources) Times(n int64) Resources {
	return Resources{CPU: r.CPU * Millicores(n), Mem: r.Mem * Bytes(n), Accel: r.Accel * Accels(n)}
}

// Fits reports whether the amount is within o in every part.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.Mem <= o.Mem && r.Accel <= o.Accel
}

// Share returns the dominant share: the largest ratio of a part of the amount to
// the same part of o. Where o has none, the ratio is 0 if the amount has none
// either, else above 1, as the amount never fits.
func (r Resources) Share(o Resources) float64 {
	return max(part(int64(r.CPU), int64(o.CPU)), part(int64(r.Mem), int64(o.Mem)), part(int64(r.Accel), int64(o.Accel)))
}

func part(n, of int64) float64 {
	if n <= 0 {
		return 0
	}
	if of <= 0 {
		return 1 + float64(n)
	}
	return float64(n) / float64(of)
}

// Check returns KindInvalid errors for a negative part, and for processors or
// memory of zero.
func (r Resources) Check(path string) error {
	var l Errors
	if r.CPU <= 0 {
		l.Add(Invalid(path+".cpu", "must be above zero", "give cores such as 2 or 500m"))
	}
	if r.Mem <= 0 {
		l.Add(Invalid(path+".mem", "must be above zero", "give bytes such as 512M or 2G"))
	}
	if r.Accel < 0 {
		l.Add(Invalid(path+".accel", "is below zero", "give a count"))
	}
	return l.Err()
}

// Upper limits of amounts in input. They keep sums over a whole system within
// 64 bits. The comparisons with them also refuse NaN.
const (
	maxCores = 1e12 // millicores
	maxBytes = 1e16
)

// UnmarshalJSON reads cores as a number such as 1.5, or a string such as "500m".
func (m *Millicores) UnmarshalJSON(b []byte) error {
	text := strings.Trim(string(b), `"`)
	scale := float64(Core)
	if rest, ok := strings.CutSuffix(text, "m"); ok {
		text, scale = rest, 1
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= 0 && n*scale <= maxCores) {
		return Invalid("cpu", string(b)+" is not an amount of cores", "write cores as 1.5 or \"1500m\"")
	}
	*m = Millicores(n * scale)
	return nil
}

// MarshalJSON writes millicores as "1500m".
func (m Millicores) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatInt(int64(m), 10) + "m")
}

// UnmarshalJSON reads a number of bytes, or a string with the suffix K, M or G.
func (n *Bytes) UnmarshalJSON(b []byte) error {
	text := strings.Trim(string(b), `"`)
	scale := 1.0
	for suffix, size := range map[string]Bytes{"K": KB, "M": MB, "G": GB} {
		if rest, ok := strings.CutSuffix(text, suffix); ok {
			text, scale = rest, float64(size)
		}
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v*scale <= maxBytes) {
		return Invalid("bytes", string(b)+" is not an amount of bytes", "write bytes as 1048576, \"512M\" or \"2G\"")
	}
	*n = Bytes(v * scale)
	return nil
}
