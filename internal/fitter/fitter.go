package fitter

import (
	"encoding/json"

	"cowslipbend.dev"
)

// maxRowSize bounds a row, as callers choose the names in it and the store refuses a
// commit with a row that is too large.
const maxRowSize = 48 * cowslipbend.KB

// Encode encodes the first entries of a list, at most count of them and half as many
// until they fit into a row of the store, which has at most maxRow bytes; zero means
// that it is not known. It returns nil if there are none or the first one does not fit.
func Encode(maxRow cowslipbend.Bytes, count int, first func(count int) any) ([]byte, error) {
	limit := maxRowSize
	if maxRow > 0 {
		limit = min(limit, maxRow)
	}
	for ; count > 0; count /= 2 {
		data, err := json.Marshal(first(count))
		if err != nil || cowslipbend.Bytes(len(data)) <= limit {
			return data, err
		}
	}
	return nil, nil
}
