package crowder

import (
	"context"
	"io"
	"net/http"
	"sync"
)

// newHTTP2 returns a transport with one connection, over unencrypted HTTP/2.
func newHTTP2() *http.Transport {
	t := &http.Transport{Protocols: new(http.Protocols), MaxConnsPerHost: 1}
	t.Protocols.SetUnencryptedHTTP2(true)
	return t
}

// runStream sends one unfinished request over the connection, and waits for its reply until the
// clients leave.
func (p *Play) runStream(t *http.Transport) error {
	defer t.CloseIdleConnections()
	body := &unfinishedBody{ctx: p.ctx, data: p.crowd.Message.Body, progress: func() { p.progress.Add(1) }, sent: sync.OnceFunc(func() { p.idle.Add(1) })}
	defer body.sent()
	r := Reply{ID: newJobID(), Submits: p.crowd.Message.Submits}
	req, err := http.NewRequestWithContext(p.ctx, http.MethodPost, "http://"+p.crowd.Address+route+string(r.ID), body)
	if err != nil {
		return err
	}
	req.Host, req.ContentLength = host, int64(len(body.data)+1)
	resp, err := t.RoundTrip(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err == nil {
		r.Status = resp.StatusCode
	}
	p.record(r, nil)
	return nil
}

// unfinishedBody is a body that doesn't end before the context does.
type unfinishedBody struct {
	ctx            context.Context
	data           []byte
	progress, sent func()
}

// Read reads the next part of the data.
func (b *unfinishedBody) Read(data []byte) (int, error) {
	if len(b.data) == 0 {
		b.sent()
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n := copy(data, b.data)
	b.data = b.data[n:]
	b.progress()
	return n, nil
}
