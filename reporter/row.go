package reporter

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"cowslipbend.dev"
)

// prefix stands before all rows of counts. The hour comes next, so that a
// scan gives the oldest rows first.
const prefix = "burn/"

// hourDigits keeps the keys in the order of their hours.
const hourDigits = 10

func (r *Recorder) key(h hour) string {
	return fmt.Sprintf("%s%0*d/%s/%s", prefix, hourDigits, h, r.entry, r.life)
}

// hourOf returns the hour in a key.
func hourOf(key string) (hour, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	n, err := strconv.ParseInt(text, 10, 64)
	return hour(n), ok && err == nil
}

// row is the content of a row: by service, one list of numbers for a minute
// or part of an hour, the minute first and the causes in the order of Counts.
type row map[cowslipbend.ServiceID][][rowNumbers]int64

const rowNumbers = 7

func encode(b buckets) []byte {
	out := row{}
	for service, minutes := range b {
		for m, c := range minutes {
			out[service] = append(out[service], [rowNumbers]int64{int64(m), c.Good, c.Late, c.Refused, c.Failed, c.Unknown, c.Limited})
		}
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic("reporter: numbers do not encode: " + err.Error()) // Numbers always encode.
	}
	return data
}

// decode reads a row. A row that holds anything else than counts gives
// KindBroken.
func decode(key string, data []byte) (buckets, error) {
	h, ok := hourOf(key)
	var in row
	err := json.Unmarshal(data, &in)
	if err != nil || !ok {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "delete the row", "row %s holds no counts", key)
	}
	b := buckets{}
	for service, parts := range in {
		for _, n := range parts {
			m := minute(n[0])
			if m.hour() != h || min(n[1], n[2], n[3], n[4], n[5], n[6]) < 0 {
				return nil, cowslipbend.Fail(cowslipbend.KindBroken, "row "+key+" holds impossible counts", "delete the row")
			}
			c := Counts{Good: n[1], Late: n[2], Refused: n[3], Failed: n[4], Unknown: n[5], Limited: n[6]}
			b.add(service, m, c)
		}
	}
	return b, nil
}
