package reporter

import (
	"context"
	"fmt"
	"sort"

	"cowslipbend.dev"
)

// Report tells how the services kept their objectives.
type Report struct {
	// At is when it was made, in milliseconds since the Unix epoch.
	At cowslipbend.Time `json:"at"`
	// Partial says what is missing; empty for a whole report.
	Partial  string    `json:"partial,omitempty"`
	Services []Service `json:"services"`
}

// Service is the part of a report about one service.
type Service struct {
	Name      cowslipbend.ServiceID `json:"name"`
	Objective cowslipbend.Objective `json:"objective"`
	// Left is the share of the error budget of the longest window that is
	// left; below zero once it is overspent.
	Left    float64  `json:"left"`
	Windows []Window `json:"windows"`
	Alerts  []Alert  `json:"alerts,omitempty"`
	// Points are the burn over time, oldest first.
	Points []Point `json:"points"`
}

// Window sums the requests of the last span.
type Window struct {
	Span cowslipbend.Span `json:"span"`
	Counts
	// Burn is how many times faster than sustainable the budget is spent.
	Burn float64 `json:"burn"`
}

// Alert is a rule that the burn has met.
type Alert struct {
	// Page is set if somebody should be woken; else it can wait for the day.
	Page   bool             `json:"page"`
	Burn   float64          `json:"burn"`
	Long   cowslipbend.Span `json:"long"`
	Short  cowslipbend.Span `json:"short,omitempty"`
	Reason string           `json:"reason"`
}

// Point is the burn of one part of the time that is drawn.
type Point struct {
	// At is the start of the part, in milliseconds since the Unix epoch.
	At cowslipbend.Time `json:"at"`
	Counts
	Burn float64 `json:"burn"`
}

// The windows of a report. All of them are shown but the second, which only
// the rules use.
const (
	window5m  = 5 * cowslipbend.Minute
	window30m = 30 * cowslipbend.Minute
	window1h  = cowslipbend.Hour
	window6h  = 6 * cowslipbend.Hour
	window3d  = 3 * cowslipbend.Day
)

// rule raises an alert if the burn over both windows reaches a factor. The
// short window ends the alert soon after its cause has ended.
type rule struct {
	page  bool
	burn  float64
	long  cowslipbend.Span
	short cowslipbend.Span
}

// rules are those of Beyer et al., The Site Reliability Workbook, chapter 5.
var rules = []rule{
	{page: true, burn: 14.4, long: window1h, short: window5m},
	{page: true, burn: 6, long: window6h, short: window30m},
	{burn: 1, long: window3d, short: window6h},
}

// maxPages and pageRows bound what is read for one report.
const (
	maxPages = 100
	pageRows = 100
)

// Report merges what this recorder has counted with the rows of all entries.
// While the store is out it reports on this entry alone and says so.
func (r *Recorder) Report(ctx context.Context, set *cowslipbend.Set) Report {
	now := r.clock.Wall()
	sums, err := r.merge(ctx)
	report := Report{At: now, Services: []Service{}}
	if err != nil {
		report.Partial = fmt.Sprintf("only entry %s: %v", r.entry, err)
	}
	for i := range set.Services {
		s := &set.Services[i]
		report.Services = append(report.Services, summarise(s, sums[s.Name], minuteOf(now)))
	}
	sort.Slice(report.Services, func(i, j int) bool { return report.Services[i].Name < report.Services[j].Name })
	return report
}

// merge sums all rows, with this recorder's own hours as it counts them now.
func (r *Recorder) merge(ctx context.Context) (buckets, error) {
	sums := buckets{}
	own := map[string]bool{}
	r.mu.Lock()
	for h, p := range r.pages {
		own[r.key(h)] = true
		sums.merge(p.buckets)
	}
	r.mu.Unlock()
	after := ""
	for range maxPages {
		rows, err := r.table.Scan(ctx, prefix, after, pageRows)
		if err != nil {
			return sums, err
		}
		for _, row := range rows {
			after = row.Key
			if own[row.Key] {
				continue
			}
			b, err := decode(row.Key, row.Value)
			if err != nil {
				r.log.Warn("counts are left out", "error", err)
				continue
			}
			sums.merge(b)
		}
		if len(rows) < pageRows {
			return sums, nil
		}
	}
	return sums, cowslipbend.Fail(cowslipbend.KindBroken, "more rows of counts than are read", "look for entries that restart all the time")
}

func (b buckets) merge(o buckets) {
	for service, minutes := range o {
		for m, c := range minutes {
			b.add(service, m, c)
		}
	}
}

func (b buckets) add(service cowslipbend.ServiceID, m minute, c Counts) {
	if b[service] == nil {
		b[service] = map[minute]Counts{}
	}
	b[service][m] = b[service][m].Plus(c)
}

// summarise reports on one service. The minute now is counted in full.
func summarise(s *cowslipbend.Service, minutes map[minute]Counts, now minute) Service {
	out := Service{Name: s.Name, Objective: s.Objective}
	for _, span := range []cowslipbend.Span{window5m, window1h, window6h, window3d} {
		out.Windows = append(out.Windows, window(minutes, now, span, s.Objective.Good))
	}
	out.Left = 1 - out.Windows[len(out.Windows)-1].Burn
	for _, rule := range rules {
		long := window(minutes, now, rule.long, s.Objective.Good)
		short := window(minutes, now, rule.short, s.Objective.Good)
		if long.Burn >= rule.burn && short.Burn >= rule.burn {
			out.Alerts = append(out.Alerts, Alert{
				Page: rule.page, Burn: rule.burn, Long: rule.long, Short: rule.short,
				Reason: fmt.Sprintf("burns %.1f over %s and %.1f over %s, at least %g", long.Burn, rule.long, short.Burn, rule.short, rule.burn),
			})
		}
	}
	out.Points = points(minutes, now, s.Objective.Good)
	return out
}

func window(minutes map[minute]Counts, now minute, span cowslipbend.Span, good float64) Window {
	w := Window{Span: span, Counts: sum(minutes, now-minute(span/cowslipbend.Minute), now)}
	w.Burn = burn(w.Counts, good)
	return w
}

// sum adds the minutes after from, up to and with to.
func sum(minutes map[minute]Counts, from, to minute) Counts {
	var c Counts
	for m, n := range minutes {
		if m > from && m <= to {
			c = c.Plus(n)
		}
	}
	return c
}

// burn returns the share of bad requests relative to the share that the
// objective allows; zero without requests.
func burn(c Counts, good float64) float64 {
	if c.Total() == 0 || good >= 1 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total()) / (1 - good)
}

// pointCount is how many parts the drawn time has.
const pointCount = 60

// points cuts the last hour into minutes or, once there is older data, the
// last six hours or three days into longer parts.
func points(minutes map[minute]Counts, now minute, good float64) []Point {
	oldest := now
	for m := range minutes {
		oldest = min(oldest, m)
	}
	span := minute(window3d / cowslipbend.Minute)
	for _, s := range []cowslipbend.Span{window6h, window1h} {
		if now-oldest < minute(s/cowslipbend.Minute) {
			span = minute(s / cowslipbend.Minute)
		}
	}
	part := span / pointCount
	list := make([]Point, 0, pointCount)
	for at := now - span; at < now; at += part {
		c := sum(minutes, at, at+part)
		list = append(list, Point{At: cowslipbend.Time(at+1) * cowslipbend.Time(cowslipbend.Minute), Counts: c, Burn: burn(c, good)})
	}
	return list
}
