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

// EventBatch is the body that a Client posts to /judge/events. Life is the
// incarnation of its process.
type EventBatch struct {
	Life   string  `json:"life"`
	SentAt Moment  `json:"at"`
	Events []Event `json:"events"`
}

// maxBatchBytes is the largest accepted body of a post.
const maxBatchBytes = 64 << 20

// Handler serves POST /judge/events and GET /judge/history.
func (j *Judge) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /judge/events", j.receiveEvents)
	mux.HandleFunc("GET /judge/history", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(j.History())
	})
	return mux
}

func (j *Judge) receiveEvents(w http.ResponseWriter, r *http.Request) {
	var b EventBatch
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBatchBytes)).Decode(&b); err != nil {
		server.WriteError(w, cowslipbend.Failf(cowslipbend.KindInvalid, err, "send a batch of events", "body is not a JSON batch of events"))
		return
	}
	for _, e := range b.Events {
		j.Record(e)
	}
	j.RecordContact(b.Life, b.SentAt)
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

// NewClient returns a client of the judge at the base URL. The life is the
// incarnation of the process that posts.
func NewClient(base, life string) *Client {
	return &Client{base: base, life: life, http: &http.Client{Timeout: postTimeout.Duration()}}
}

const (
	postTimeout  = 5 * cowslipbend.Second
	postInterval = cowslipbend.Second / 10
)

// Record queues an event for the next post.
func (c *Client) Record(e Event) {
	if e.At == 0 {
		e.At = Now()
	}
	e.Life = c.life
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

// Run posts the queue periodically until the context ends, and once more after
// that.
func (c *Client) Run(ctx context.Context, clock cowslipbend.Clock) error {
	defer c.http.CloseIdleConnections()
	_ = timer.Every(ctx, clock, postInterval, func(ctx context.Context) error {
		c.Flush(ctx)
		return nil
	})
	c.Flush(context.WithoutCancel(ctx))
	return nil
}

// Flush posts the queued events. An empty batch is posted too, as it shows that the
// process is alive. Events that could not be posted stay queued.
func (c *Client) Flush(ctx context.Context) {
	c.mu.Lock()
	b := EventBatch{Life: c.life, SentAt: Now(), Events: c.events}
	c.events = nil
	c.mu.Unlock()
	if c.postEvents(ctx, b) {
		return
	}
	c.mu.Lock()
	c.events = append(b.Events, c.events...)
	c.mu.Unlock()
}

// postEvents reports whether the judge accepted the batch.
func (c *Client) postEvents(ctx context.Context, b EventBatch) bool {
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

// History reads all events of all processes from the judge.
func (c *Client) History(ctx context.Context) (History, error) {
	var h History
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/judge/history", nil)
	if err != nil {
		return h, cowslipbend.Failf(cowslipbend.KindInvalid, err, "give http://IP:PORT", "bad URL of the judge")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return h, cowslipbend.Failf(cowslipbend.KindDown, err, "check that stand platform runs at this URL", "judge cannot be reached")
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&h); err != nil {
		return h, cowslipbend.Failf(cowslipbend.KindBroken, err, "check that stand platform runs at this URL", "the judge's answer is not a JSON history")
	}
	return h, nil
}
