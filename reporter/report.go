package reporter

import (
	"context"
	"fmt"
	"sort"

	"cowslipbend.dev"
)

// Report describes how the services meet their objectives.
type Report struct {
	// GeneratedAt is in milliseconds since the Unix epoch.
	GeneratedAt cowslipbend.Time `json:"at"`
	// PartialReason says what the report leaves out and why; it is empty for a
	// complete report.
	PartialReason string    `json:"partial,omitempty"`
	Services      []Service `json:"services"`
}

// Service is the report on one service.
type Service struct {
	Name      cowslipbend.ServiceID `json:"name"`
	Objective cowslipbend.Objective `json:"objective"`
	// BudgetLeft is the unspent fraction of the error budget of the longest
	// window; it is negative if the budget is overspent.
	BudgetLeft float64  `json:"left"`
	Windows    []Window `json:"windows"`
	Alerts     []Alert  `json:"alerts,omitempty"`
	// Points are the burn rates over time, oldest first.
	Points []Point `json:"points"`
}

// Window sums the requests within a span that ends at the time of the report.
type Window struct {
	Span cowslipbend.Span `json:"span"`
	Counts
	// BurnRate is the rate at which the error budget is spent; at 1 it is
	// spent exactly as fast as it renews.
	BurnRate float64 `json:"burn"`
}

// Alert is an alert rule whose threshold the burn rates have reached.
type Alert struct {
	// Page is set if the alert needs immediate attention; otherwise it is a
	// ticket.
	Page      bool             `json:"page"`
	Threshold float64          `json:"burn"`
	Long      cowslipbend.Span `json:"long"`
	Short     cowslipbend.Span `json:"short,omitempty"`
	Reason    string           `json:"reason"`
}

// Point is the burn rate of one interval of a plot.
type Point struct {
	// StartAt is the start of the interval in milliseconds since the Unix epoch.
	StartAt cowslipbend.Time `json:"at"`
	Counts
	BurnRate float64 `json:"burn"`
}

// The windows of reports and alert rules. The second is used by the rules
// only.
const (
	window5m  = 5 * cowslipbend.Minute
	window30m = 30 * cowslipbend.Minute
	window1h  = cowslipbend.Hour
	window6h  = 6 * cowslipbend.Hour
	window3d  = 3 * cowslipbend.Day
)

// alertRule raises an alert if the burn rates over both windows reach the
// threshold. The short window ends the alert soon after its cause has ended.
type alertRule struct {
	page      bool
	threshold float64
	long      cowslipbend.Span
	short     cowslipbend.Span
}

// alertRules are those of Beyer et al., The Site Reliability Workbook, chapter 5.
var alertRules = []alertRule{
	{page: true, threshold: 14.4, long: window1h, short: window5m},
	{page: true, threshold: 6, long: window6h, short: window30m},
	{threshold: 1, long: window3d, short: window6h},
}

// maxScans and scanRows bound the rows read for one report.
const (
	maxScans = 100
	scanRows = 100
)

// Report returns a report on the services of the set. It merges the counts of
// this recorder with the rows of all entries. If the rows cannot be read, the
// report is partial.
func (r *Recorder) Report(ctx context.Context, set *cowslipbend.Set) Report {
	now := r.clock.Wall()
	sums, err := r.mergeRows(ctx)
	report := Report{GeneratedAt: now, Services: []Service{}}
	if err != nil {
		report.PartialReason = fmt.Sprintf("only entry %s: %v", r.entry, err)
	}
	for i := range set.Services {
		s := &set.Services[i]
		report.Services = append(report.Services, summarise(s, sums[s.Name], minuteOf(now)))
	}
	sort.Slice(report.Services, func(i, j int) bool { return report.Services[i].Name < report.Services[j].Name })
	return report
}

// mergeRows sums the rows of all entries. For this recorder's own rows it uses
// the counts in memory instead. If it returns an error, the sums are those of
// this recorder and the rows read so far.
func (r *Recorder) mergeRows(ctx context.Context) (buckets, error) {
	sums := buckets{}
	ownKeys := map[string]bool{}
	r.mu.Lock()
	for h, counts := range r.hours {
		ownKeys[r.rowKey(h)] = true
		sums.merge(counts.buckets)
	}
	r.mu.Unlock()
	after := ""
	for range maxScans {
		rows, err := r.table.Scan(ctx, keyPrefix, after, scanRows)
		if err != nil {
			return sums, err
		}
		for _, row := range rows {
			after = row.Key
			if ownKeys[row.Key] {
				continue
			}
			b, err := decode(row.Key, row.Value)
			if err != nil {
				r.log.Warn("cannot decode a row of request counts; leaving it out of the report", "error", err)
				continue
			}
			sums.merge(b)
		}
		if len(rows) < scanRows {
			return sums, nil
		}
	}
	return sums, cowslipbend.Fail(cowslipbend.KindBroken, "more rows of request counts than one report reads", "check for entries that restart repeatedly")
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

// summarise returns the report on one service. The windows include the whole
// current minute.
func summarise(s *cowslipbend.Service, minutes map[minute]Counts, now minute) Service {
	out := Service{Name: s.Name, Objective: s.Objective}
	for _, span := range []cowslipbend.Span{window5m, window1h, window6h, window3d} {
		out.Windows = append(out.Windows, windowOf(minutes, now, span, s.Objective.Good))
	}
	out.BudgetLeft = 1 - out.Windows[len(out.Windows)-1].BurnRate
	for _, rule := range alertRules {
		long := windowOf(minutes, now, rule.long, s.Objective.Good)
		short := windowOf(minutes, now, rule.short, s.Objective.Good)
		if long.BurnRate >= rule.threshold && short.BurnRate >= rule.threshold {
			out.Alerts = append(out.Alerts, Alert{
				Page: rule.page, Threshold: rule.threshold, Long: rule.long, Short: rule.short,
				Reason: fmt.Sprintf("burns %.1f over %s and %.1f over %s, at least %g", long.BurnRate, rule.long, short.BurnRate, rule.short, rule.threshold),
			})
		}
	}
	out.Points = burnPoints(minutes, now, s.Objective.Good)
	return out
}

func windowOf(minutes map[minute]Counts, now minute, span cowslipbend.Span, goodShare float64) Window {
	w := Window{Span: span, Counts: sum(minutes, now-minute(span/cowslipbend.Minute), now)}
	w.BurnRate = burnRate(w.Counts, goodShare)
	return w
}

// sum returns the total of the minutes in the interval (from, to].
func sum(minutes map[minute]Counts, from, to minute) Counts {
	var c Counts
	for m, n := range minutes {
		if m > from && m <= to {
			c = c.Plus(n)
		}
	}
	return c
}

// burnRate returns the fraction of bad requests relative to the fraction that
// the objective allows. It is zero without requests.
func burnRate(c Counts, goodShare float64) float64 {
	if c.Total() == 0 || goodShare >= 1 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total()) / (1 - goodShare)
}

// pointCount is the number of points of a plot.
const pointCount = 60

// burnPoints returns the burn rates of the last hour, or, if there are older
// counts, of the last six hours or three days, in pointCount intervals.
func burnPoints(minutes map[minute]Counts, now minute, goodShare float64) []Point {
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
	step := span / pointCount
	list := make([]Point, 0, pointCount)
	for start := now - span; start < now; start += step {
		c := sum(minutes, start, start+step)
		list = append(list, Point{StartAt: cowslipbend.Time(start+1) * cowslipbend.Time(cowslipbend.Minute), Counts: c, BurnRate: burnRate(c, goodShare)})
	}
	return list
}
