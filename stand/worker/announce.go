package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
)

// Times of announcements.
const (
	announcePoll    = cowslipbend.Second / 10
	announceTimeout = time.Second
)

// announce tells the agent of the endpoints that are due.
func (w *Worker) announce(ctx context.Context) {
	for _, note := range w.due() {
		w.post(ctx, note)
	}
}

func (w *Worker) due() []admitter.Announcement {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	var notes []admitter.Announcement
	for _, t := range w.tasks {
		if t.endpoint == nil || t.ended || (t.announced > 0 && now.Sub(t.announced) < announcePeriod) {
			continue
		}
		t.announced = now
		notes = append(notes, t.endpoint.note)
	}
	return notes
}

func (w *Worker) post(ctx context.Context, note admitter.Announcement) {
	data, err := json.Marshal(note)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.opts.Agent+"/announce", bytes.NewReader(data))
	if err != nil {
		return
	}
	resp, err := w.client.Do(req)
	if err != nil {
		w.log.Debug("announcement failed", "error", err)
		return
	}
	_ = resp.Body.Close()
}
