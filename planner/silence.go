package planner

import (
	"cowslipbend.dev"
)

// excuseSilence begins the observation of the runs of a host anew if its reports have
// been late. The first report after that may be as old as the silence, and shows
// nothing of what the runs have done meanwhile.
func (h *host) excuseSilence(now cowslipbend.Time) {
	if now.Sub(h.lastReportAt) <= maxListAge {
		return
	}
	for _, pl := range h.runs {
		pl.progressedAt, pl.slowSince = 0, 0
	}
}
