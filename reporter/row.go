package reporter

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"cowslipbend.dev"
)

// keyPrefix is the prefix of the keys of all rows of counts. The hour comes
// next, so that a scan returns the oldest rows first.
const keyPrefix = "burn/"

// hourDigits is the width to which hours are padded, so that keys sort by hour.
const hourDigits = 10

func (r *Recorder) rowKey(h hour) string {
	return fmt.Sprintf("%s%0*d/%s/%s", keyPrefix, hourDigits, h, r.entry, r.incarnation)
}

// hourOf returns the hour in a key.
func hourOf(key string) (hour, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, keyPrefix), "/")
	n, err := strconv.ParseInt(text, 10, 64)
	return hour(n), ok && err == nil
}

// rowValue is the value of a row. For each service it has one list of numbers
// for each minute or coarse interval: the first minute and the counts in the
// order of the fields of Counts.
type rowValue map[cowslipbend.ServiceID][][rowColumns]int64

const rowColumns = 7

func encode(b buckets) []byte {
	out := rowValue{}
	for service, minutes := range b {
		for m, c := range minutes {
			out[service] = append(out[service], [rowColumns]int64{int64(m), c.Good, c.Late, c.Refused, c.Failed, c.Unknown, c.Limited})
		}
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic("reporter: cannot encode counts: " + err.Error()) // Numbers can always be encoded.
	}
	return data
}

// decode decodes a row. It returns KindBroken if the row holds anything but
// counts of the hour in its key.
func decode(key string, data []byte) (buckets, error) {
	h, ok := hourOf(key)
	var in rowValue
	err := json.Unmarshal(data, &in)
	if err != nil || !ok {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "delete the row", "row %s does not hold request counts", key)
	}
	b := buckets{}
	for service, lists := range in {
		for _, n := range lists {
			m := minute(n[0])
			if m.hour() != h || min(n[1], n[2], n[3], n[4], n[5], n[6]) < 0 {
				return nil, cowslipbend.Fail(cowslipbend.KindBroken, "row "+key+" holds negative counts or minutes of another hour", "delete the row")
			}
			c := Counts{Good: n[1], Late: n[2], Refused: n[3], Failed: n[4], Unknown: n[5], Limited: n[6]}
			b.add(service, m, c)
		}
	}
	return b, nil
}
