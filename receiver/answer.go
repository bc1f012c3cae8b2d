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

// copyBuffer is the size of the buffer of one stream in bytes.
const copyBuffer = 16 << 10

var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// ran is the outcome of every answer that an endpoint gave.
var ran = []string{string(cowslipbend.Ran)}

// send streams an answer to the caller.
func (r *Receiver) send(w *echo.Response, req *router.Request, a *router.Answer) error {
	h := w.Header()
	for name, values := range a.Header {
		if name != cowslipbend.HeaderState && name != cowslipbend.HeaderToken {
			h[name] = values
		}
	}
	h[cowslipbend.HeaderOutcome] = ran
	trailer := req.Watch && a.Length < 0
	if a.Length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(a.Length, 10)}
	}
	if trailer {
		h.Set("Trailer", cowslipbend.HeaderEnd)
	}
	w.WriteHeader(a.Status)
	err := stream(w, a)
	if !trailer {
		return err
	}
	end := a.Trailer.Get(cowslipbend.HeaderEnd)
	if err != nil && r.watches.Err() != nil {
		end, err = cowslipbend.EndLeaving, nil
	}
	if end == "" {
		end = cowslipbend.EndWhole
	}
	h.Set(cowslipbend.HeaderEnd, end)
	return err
}

func stream(w *echo.Response, a *router.Answer) error {
	buf := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buf)
	sent := int64(0)
	for {
		n, err := a.Body.Read(buf[:])
		sent += int64(n)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return cowslipbend.Failf(cowslipbend.KindUnknown, werr, "ask again", "caller went away")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return cowslipbend.Failf(cowslipbend.KindUnknown, err, "repeat it only if it is idempotent", "answer broke off")
		}
		if sent != a.Length {
			w.Flush()
		}
	}
}
