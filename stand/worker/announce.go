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

const (
	announceCheckInterval = cowslipbend.Second / 10
	announceTimeout       = time.Second
)

// announce posts the announcements that are due to the agent.
func (w *Worker) announce(ctx context.Context) {
	for _, announcement := range w.dueAnnouncements() {
		w.postAnnouncement(ctx, announcement)
	}
}

// dueAnnouncements returns the announcements of running endpoints that have
// not been sent within the announce interval, and marks them as sent.
func (w *Worker) dueAnnouncements() []admitter.Announcement {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	var announcements []admitter.Announcement
	for _, t := range w.tasks {
		if t.endpoint == nil || t.ended || (t.announcedAt > 0 && now.Sub(t.announcedAt) < announceInterval) {
			continue
		}
		t.announcedAt = now
		announcements = append(announcements, t.endpoint.announcement)
	}
	return announcements
}

func (w *Worker) postAnnouncement(ctx context.Context, announcement admitter.Announcement) {
	data, err := json.Marshal(announcement)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.opts.Agent+"/announce", bytes.NewReader(data))
	if err != nil {
		return
	}
	resp, err := w.client.Do(req)
	if err != nil {
		w.log.Debug("posting an endpoint announcement to the agent failed; repeated at the next interval", "error", err)
		return
	}
	_ = resp.Body.Close()
}
