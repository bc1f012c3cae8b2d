package receiver

import (
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/labstack/echo/v4"

	"cowslipbend.dev"
	"cowslipbend.dev/router"
)

// copyBufferBytes is the size of the buffer for one streamed body.
const copyBufferBytes = 16 << 10

// copyBuffers recycles the buffers of streamBody.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// outcomeRan is the value of HeaderOutcome for an answer of an endpoint.
var outcomeRan = []string{string(cowslipbend.Ran)}

// send streams an answer to the caller. The answer to a watch of unknown length
// ends with the trailer HeaderEnd.
func (r *Receiver) send(w *echo.Response, req *router.Request, a *router.Answer) error {
	h := w.Header()
	for name, values := range a.Header {
		if name != cowslipbend.HeaderState && name != cowslipbend.HeaderToken {
			h[name] = values
		}
	}
	h[cowslipbend.HeaderOutcome] = outcomeRan
	hasTrailer := req.Watch && a.Length < 0
	if a.Length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(a.Length, 10)}
	}
	if hasTrailer {
		h.Set("Trailer", cowslipbend.HeaderEnd)
	}
	w.WriteHeader(a.Status)
	err := streamBody(w, a)
	if !hasTrailer {
		return err
	}
	end := a.Trailer.Get(cowslipbend.HeaderEnd)
	if err != nil && r.watchCtx.Err() != nil {
		end, err = cowslipbend.EndLeaving, nil
	}
	if end == "" {
		end = cowslipbend.EndWhole
	}
	h.Set(cowslipbend.HeaderEnd, end)
	return err
}

func streamBody(w *echo.Response, a *router.Answer) error {
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	written := int64(0)
	for {
		n, err := a.Body.Read(buf[:])
		written += int64(n)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return cowslipbend.Failf(cowslipbend.KindUnknown, writeErr, "ask again", "caller disconnected before the answer was complete")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return cowslipbend.Failf(cowslipbend.KindUnknown, err, "repeat it only if it is idempotent", "answer was truncated")
		}
		if written != a.Length {
			w.Flush()
		}
	}
}
