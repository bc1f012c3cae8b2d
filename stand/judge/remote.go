package judge

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/timer"
)

// Batch is what a Client posts to /judge/events.
type Batch struct {
	Life   string  `json:"life"`
	At     Moment  `json:"at"`
	Events []Event `json:"events"`
}

// maxBatch bounds one post.
const maxBatch = 64 << 20 // bytes

// Handler serves POST /judge/events and GET /judge/history.
func (j *Judge) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /judge/events", j.take)
	mux.HandleFunc("GET /judge/history", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(j.Events())
	})
	return mux
}

func (j *Judge) take(w http.ResponseWriter, r *http.Request) {
	var b Batch
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBatch)).Decode(&b); err != nil {
		server.WriteError(w, cowslipbend.Failf(cowslipbend.KindInvalid, err, "send a batch of events", "body does not decode"))
		return
	}
	for _, e := range b.Events {
		j.Note(e)
	}
	j.Alive(b.Life, b.At)
	w.WriteHeader(http.StatusNoContent)
}

// Client is a Recorder that posts its events to the judge of another process.
// It is safe for concurrent use.
type Client struct {
	base string
	life string
	http *http.Client

	mu     sync.Mutex
	events []Event
}

// NewClient returns a client of the judge at the base URL, for one life of a
// process.
func NewClient(base, life string) *Client {
	return &Client{base: base, life: life, http: &http.Client{Timeout: postTimeout.Duration()}}
}

// Times of a client.
const (
	postTimeout = 5 * cowslipbend.Second
	postPeriod  = cowslipbend.Second / 10
)

// Note queues an event.
func (c *Client) Note(e Event) {
	if e.At == 0 {
		e.At = Now()
	}
	e.Life = c.life
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

// Run posts until the context ends, and once more then.
func (c *Client) Run(ctx context.Context, clock cowslipbend.Clock) error {
	defer c.http.CloseIdleConnections()
	_ = timer.Every(ctx, clock, postPeriod, func(ctx context.Context) error {
		c.Flush(ctx)
		return nil
	})
	c.Flush(context.WithoutCancel(ctx))
	return nil
}

// Flush posts what is queued. Events that could not be posted stay queued.
func (c *Client) Flush(ctx context.Context) {
	c.mu.Lock()
	b := Batch{Life: c.life, At: Now(), Events: c.events}
	c.events = nil
	c.mu.Unlock()
	if c.post(ctx, b) {
		return
	}
	c.mu.Lock()
	c.events = append(b.Events, c.events...)
	c.mu.Unlock()
}

func (c *Client) post(ctx context.Context, b Batch) bool {
	data, err := json.Marshal(b)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/judge/events", bytes.NewReader(data))
	if err != nil {
		return false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

// History reads all events from the judge.
func (c *Client) History(ctx context.Context) (History, error) {
	var h History
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/judge/history", nil)
	if err != nil {
		return h, cowslipbend.Failf(cowslipbend.KindInvalid, err, "give http://IP:PORT", "bad URL of the judge")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return h, cowslipbend.Failf(cowslipbend.KindDown, err, "look at stand platform", "judge does not answer")
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&h); err != nil {
		return h, cowslipbend.Failf(cowslipbend.KindBroken, err, "look at stand platform", "history does not decode")
	}
	return h, nil
}
