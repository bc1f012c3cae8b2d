package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"cowslipbend.dev"
)

// Limits of the logs.
const (
	// maxLine is the longest accepted line in bytes; the programs write at most
	// 8 KiB.
	maxLine = 1 << 20
	// maxLines is the largest number of lines held in memory, of some 500 bytes
	// each.
	maxLines = 200_000
)

// Event is one log line of a timeline.
type Event struct {
	At time.Time `json:"at"`
	// Source names the process that wrote the line: the last word before the JSON
	// object, or else the source given to Read.
	Source  string `json:"source"`
	Module  string `json:"module"`
	Message string `json:"what"`
	// Fields holds all other fields of the line but its level.
	Fields map[string]string `json:"fields"`
}

// Timeline lists the events of one flow in the order of time.
type Timeline struct {
	Flow   cowslipbend.JobID `json:"flow"`
	Events []Event           `json:"events"`
	// Steps tells where the time of each step went, in the order of their first starts.
	Steps []Step `json:"steps,omitempty"`
	// Counts holds the number of events per message and outcome.
	Counts map[string]int `json:"counts"`
	// InvalidLines is the number of lines that do not decode as log lines.
	InvalidLines int `json:"foreign"`
	// DroppedLines is the number of lines that the processes report as dropped.
	DroppedLines int `json:"dropped"`
}

// Explainer collects the log lines about one flow. It also keeps all lines about
// hosts, agents and owners, as the hosts on which the flow ran are known only
// when all logs have been read.
type Explainer struct {
	flow          cowslipbend.JobID
	flowEvents    []Event
	hosts         map[string]bool // hosts on which the flow ran, by the incarnation of the runner
	agents        map[string]bool // URLs of their agents
	relatedEvents []Event         // lines about hosts, agents and owners
	invalidLines  int
	droppedLines  int
}

// New returns an explainer without any log lines.
func New(flow cowslipbend.JobID) *Explainer {
	return &Explainer{flow: flow, hosts: map[string]bool{}, agents: map[string]bool{}}
}

// Read reads a log. Log collectors may put text before the JSON object of a line;
// the last word of that text then names the process instead of source.
func (e *Explainer) Read(r io.Reader, source string) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLine), maxLine)
	for n := 1; lines.Scan(); n++ {
		if len(e.flowEvents)+len(e.relatedEvents) >= maxLines {
			return cowslipbend.Invalid(fmt.Sprintf("%s:%d", source, n), "there are more than 200000 lines about the flow, hosts, agents and owners", "give logs of a shorter time")
		}
		e.readLine(lines.Bytes(), source)
	}
	switch err := lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return cowslipbend.Invalid(source, "a line is longer than 1 MiB", "give logs of cowslipbend's processes")
	case err != nil:
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "check that the file can be read", "cannot read %s", source)
	}
	return nil
}

func (e *Explainer) readLine(text []byte, source string) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		e.invalidLines++
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil || fields["@message"] == nil {
		e.invalidLines++
		return
	}
	e.addEvent(decodeEvent(fields, sourceName(string(text[:start]), source)))
}

// sourceName returns the last word before a line's object, or the source if there
// is none.
func sourceName(prefix, source string) string {
	for _, word := range slices.Backward(strings.Fields(prefix)) {
		if word = strings.Trim(word, "|:"); word != "" {
			return word
		}
	}
	return source
}

// decodeEvent returns the event of a decoded line. A timestamp that does not parse
// becomes the zero time, which sorts first.
func decodeEvent(fields map[string]any, source string) Event {
	ev := Event{Source: source, Fields: map[string]string{}}
	for name, value := range fields {
		text := fmt.Sprint(value)
		switch name {
		case "@timestamp":
			ev.At, _ = time.Parse(time.RFC3339Nano, text)
		case "@message":
			ev.Message = text
		case "@module":
			ev.Module = text
		case "@level":
		default:
			if value != nil {
				ev.Fields[name] = text
			}
		}
	}
	return ev
}

// relatedMessages lists the messages about hosts, agents and owners that can
// belong to the timeline of a flow that they do not name.
var relatedMessages = []string{
	"runner discovered", "runner drain state changed", "runner capacity changed", "runner is shutting down", "runner lost", "host lost",
	"runner did not confirm the lease", "agent did not confirm orders", "flows taken over", "agent started", "agent stopped",
	// Earlier versions wrote these messages with the same meaning.
	"runner known", "runner drains", "runner leaves", "runner was not held", "orders were not confirmed", "agent runs", "agent stops",
}

func (e *Explainer) addEvent(ev Event) {
	task := ev.Fields["task"]
	switch {
	case ev.Message == "log lines dropped":
		var n int
		if _, err := fmt.Sscan(ev.Fields["count"], &n); err != nil {
			n = 1 // At least one line was dropped.
		}
		e.droppedLines += n
	case ev.Fields["flow"] == string(e.flow) || strings.HasPrefix(task, string(e.flow)+"/"):
		if task != "" {
			ev.Fields["task"] = strings.TrimPrefix(task, string(e.flow)+"/")
		}
		delete(ev.Fields, "flow")
		e.flowEvents = append(e.flowEvents, ev)
		if host := ev.Fields["host"]; host != "" {
			e.hosts[host], e.agents[ev.Fields["agent"]] = true, true
		}
	case slices.Contains(relatedMessages, ev.Message):
		e.relatedEvents = append(e.relatedEvents, ev)
	}
}

// isRelevant reports whether a line about a host, an agent or an owner belongs
// to the timeline, whose own events lie between first and last.
func (e *Explainer) isRelevant(ev Event, first, last time.Time) bool {
	if ev.At.Before(first) || ev.At.After(last) {
		return false
	}
	switch ev.Message {
	case "flows taken over":
		return true
	case "runner discovered", "agent started", "agent stopped", "runner known", "agent runs", "agent stops":
		// If an agent of the timeline discovers its runner again, the runner has
		// restarted and lost its runs.
		return e.sources()[ev.Source]
	}
	return e.hosts[ev.Fields["life"]] || e.agents[ev.Fields["agent"]]
}

// sources returns the processes that wrote lines about the flow.
func (e *Explainer) sources() map[string]bool {
	found := map[string]bool{}
	for _, ev := range e.flowEvents {
		found[ev.Source] = true
	}
	return found
}

// Timeline returns the timeline of the logs that have been read, or KindMissing if
// no line names the flow.
func (e *Explainer) Timeline() (*Timeline, error) {
	if len(e.flowEvents) == 0 {
		return nil, cowslipbend.Fail(cowslipbend.KindMissing, "no log line names flow "+string(e.flow), "give the logs of all entries and agents at the time of the request")
	}
	timeline := &Timeline{Flow: e.flow, Events: slices.Clone(e.flowEvents), Counts: map[string]int{}, InvalidLines: e.invalidLines, DroppedLines: e.droppedLines}
	sortByTime := func(list []Event) {
		sort.SliceStable(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
	}
	sortByTime(timeline.Events)
	first, last := timeline.Events[0].At, timeline.Events[len(timeline.Events)-1].At
	for _, ev := range e.relatedEvents {
		if e.isRelevant(ev, first, last) {
			timeline.Events = append(timeline.Events, ev)
		}
	}
	sortByTime(timeline.Events)
	timeline.Steps = splitSteps(timeline.Events)
	for _, ev := range timeline.Events {
		timeline.Counts[label(ev)]++
	}
	return timeline, nil
}

// label returns the message of an event, followed by its outcome if it has one.
func label(ev Event) string {
	for _, field := range []string{"outcome", "how"} {
		if v := ev.Fields[field]; v != "" {
			return ev.Message + " " + v
		}
	}
	return ev.Message
}

// FormatFields formats the fields of an event as name=value, sorted by name.
func (ev *Event) FormatFields() string {
	names := make([]string, 0, len(ev.Fields))
	for name := range ev.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for i, name := range names {
		if i > 0 {
			b.WriteByte(' ')
		}
		value := ev.Fields[name]
		if strings.ContainsAny(value, " \"=") {
			value = fmt.Sprintf("%q", value)
		}
		fmt.Fprintf(&b, "%s=%s", name, value)
	}
	return b.String()
}
