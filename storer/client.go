package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/dialer"
)

// Bounds of one request.
const (
	maxReply = 64 << 20 // bytes
	maxRows  = 1000     // rows in one scan
)

// CommitReply is the body of a response to a commit.
type CommitReply struct {
	Version int64 `json:"version"`
}

// Client is the cowslipbend.Table of the platform at a URL; Objects returns
// its object store. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at the base URL. The timeout is
// that of dialer.Watched.
func New(base string, timeout cowslipbend.Span) *Client {
	return newClient(base, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}, timeout)
}

// newClient returns a client that calls the platform by an HTTP client.
func newClient(base string, client *http.Client, timeout cowslipbend.Span) *Client {
	return &Client{base: base, http: dialer.Watched(client, timeout)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads a row.
func (c *Client) Get(ctx context.Context, key string) (cowslipbend.Row, error) {
	var row cowslipbend.Row
	err := c.getJSON(ctx, "/table/row?key="+url.QueryEscape(key), &row)
	return row, err
}

// Scan returns rows whose keys have the prefix and are greater than after, at
// most limit and at most maxRows.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]cowslipbend.Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(min(limit, maxRows))}}
	var rows []cowslipbend.Row
	err := c.getJSON(ctx, "/table/rows?"+q.Encode(), &rows)
	return rows, err
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "cannot encode the transaction as JSON")
	}
	data, err := c.exchange(ctx, http.MethodPost, "/table/commit", body)
	if err != nil {
		return 0, err
	}
	var reply CommitReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return 0, transportError(http.MethodPost, err)
	}
	return reply.Version, nil
}

// Put writes an object.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.exchange(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), data)
	return err
}

// Delete removes an object.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.exchange(ctx, http.MethodDelete, "/objects/"+url.PathEscape(name), nil)
	return err
}

// objects implements cowslipbend.Objects. It is a type of its own because the
// Get methods of Table and Objects differ.
type objects struct{ *Client }

// Get reads an object.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.exchange(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil)
}

// Objects returns the object store of the same platform.
func (c *Client) Objects() cowslipbend.Objects { return objects{c} }

func (c *Client) getJSON(ctx context.Context, path string, out any) error {
	data, err := c.exchange(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "check that the address is the platform's", "cannot decode the store's response")
	}
	return nil
}

// exchange sends one request and returns the body of the response. It returns
// KindUnknown if the response to a write is lost.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "give the platform's URL as http://IP:PORT", "invalid platform URL")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(method, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(dialer.Bound(resp.Body, maxReply))
	if err != nil {
		return nil, transportError(method, err)
	}
	return data, statusError(method, path, resp.StatusCode)
}

// transportError returns the error of a request that got no usable response:
// KindDown for a read, which has no effect, and KindUnknown for a write, which
// may have taken effect.
func transportError(method string, cause error) error {
	if method == http.MethodGet {
		return cowslipbend.Failf(cowslipbend.KindDown, cause, "wait for the platform's store", "store does not answer")
	}
	return cowslipbend.Failf(cowslipbend.KindUnknown, cause, "read the rows again to learn the effect", "answer of the store was lost")
}

func statusError(method, path string, code int) error {
	switch {
	case code < http.StatusMultipleChoices:
		return nil
	case code == http.StatusConflict:
		return cowslipbend.Fail(cowslipbend.KindConflict, "a row of the transaction has changed", "read it again and decide anew")
	case code == http.StatusNotFound:
		return cowslipbend.Fail(cowslipbend.KindMissing, "the store has nothing at "+path, "check the name")
	case code == http.StatusServiceUnavailable:
		return cowslipbend.Fail(cowslipbend.KindDown, "store is unavailable", "wait for the platform's store")
	case code < http.StatusInternalServerError:
		return cowslipbend.Fail(cowslipbend.KindInvalid, "store refused the request with status "+strconv.Itoa(code), "report this")
	}
	return transportError(method, cowslipbend.Fail(cowslipbend.KindBroken, "store answered with status "+strconv.Itoa(code), "check the platform's store"))
}
