package planner

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"cowslipbend.dev"
)

// Limits of encoded progress.
const (
	// minCompressedSize is the size of a row, in bytes of JSON, from which it is
	// compressed. Smaller rows gain little.
	minCompressedSize = 400
	// maxRowSize is the largest size of a row, in bytes of JSON, that is decoded.
	maxRowSize = 16 << 20
)

// compressedMark is the first byte of a compressed row. JSON never begins with it.
const compressedMark = 'z'

// rowEncoder encodes rows. It reuses its buffers.
type rowEncoder struct {
	compressed bytes.Buffer
	writer     *flate.Writer
	// compact compresses rows that are otherwise too large; it takes some times as long.
	compact *flate.Writer
}

// encode returns the row as JSON, compressed if it is large: rows of wide flows
// repeat the same fields and hosts, and each change writes the whole row.
func (e *rowEncoder) encode(row *Row) ([]byte, error) {
	data, err := json.Marshal(row)
	if err != nil || len(data) < minCompressedSize {
		return data, err
	}
	return e.compress(data, &e.writer, flate.BestSpeed)
}

// encodeCompactly returns the row in less bytes than encode does, and sorts its tasks.
func (e *rowEncoder) encodeCompactly(row *Row) ([]byte, error) {
	row.sortByHost()
	data, err := json.Marshal(row)
	if err != nil {
		return nil, err
	}
	return e.compress(data, &e.compact, flate.DefaultCompression)
}

// compress compresses with the writer, which it makes if there is none.
func (e *rowEncoder) compress(data []byte, writer **flate.Writer, level int) ([]byte, error) {
	e.compressed.Reset()
	e.compressed.WriteByte(compressedMark)
	if *writer == nil {
		w, err := flate.NewWriter(&e.compressed, level)
		if err != nil {
			return nil, err
		}
		*writer = w
	}
	w := *writer
	w.Reset(&e.compressed)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return bytes.Clone(e.compressed.Bytes()), nil
}

// DecodeRow decodes the stored progress of a flow.
func DecodeRow(id cowslipbend.JobID, data []byte) (*Row, error) {
	if len(data) > 0 && data[0] == compressedMark {
		r := flate.NewReader(bytes.NewReader(data[1:]))
		var err error
		if data, err = io.ReadAll(io.LimitReader(r, maxRowSize)); err != nil {
			return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the flow's row", "progress of flow %s does not decompress", id)
		}
	}
	row := &Row{}
	if err := json.Unmarshal(data, row); err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the flow's row", "progress of flow %s does not decode", id)
	}
	return row, nil
}
