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

// Bounds of what is read.
const (
	// maxLine is the longest line in bytes; the programs write at most 8 KiB.
	maxLine = 1 << 20
	// maxLines bounds the lines that are kept, of some 500 bytes each.
	maxLines = 200_000
)

// Event is one line of a story.
type Event struct {
	At time.Time `json:"at"`
	// Source is the process as the reader of its log named it.
	Source string `json:"source"`
	Module string `json:"module"`
	What   string `json:"what"`
	// Fields holds the other fields of the line.
	Fields map[string]string `json:"fields"`
}

// Story is what is known of one flow, in the order of time.
type Story struct {
	Flow   cowslipbend.JobID `json:"flow"`
	Events []Event           `json:"events"`
	// Counts counts the events by what happened.
	Counts map[string]int `json:"counts"`
	// Foreign counts the lines that are no log lines, Dropped the lines that
	// the processes say they have dropped.
	Foreign int `json:"foreign"`
	Dropped int `json:"dropped"`
}

// Explainer gathers the lines about one flow. It reads all logs before it can
// tell which hosts matter.
type Explainer struct {
	flow    cowslipbend.JobID
	own     []Event
	hosts   map[string]bool // lives of runners on which it ran
	agents  map[string]bool
	others  []Event // lines about hosts, agents and owners
	foreign int
	dropped int
}

// New returns an explainer of a flow.
func New(flow cowslipbend.JobID) *Explainer {
	return &Explainer{flow: flow, hosts: map[string]bool{}, agents: map[string]bool{}}
}

// Read takes the log of a source. A line may have any text before its JSON
// object, as collectors add; the last word of it then names the source.
func (e *Explainer) Read(r io.Reader, source string) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLine), maxLine)
	for n := 1; lines.Scan(); n++ {
		if len(e.own)+len(e.others) >= maxLines {
			return cowslipbend.Invalid(fmt.Sprintf("%s:%d", source, n), "there are too many lines about hosts", "give logs of a shorter time")
		}
		e.line(lines.Bytes(), source)
	}
	switch err := lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return cowslipbend.Invalid(source, "a line is longer than 1 MiB", "give logs of cowslipbend's processes")
	case err != nil:
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "look at the file", "%s cannot be read", source)
	}
	return nil
}

func (e *Explainer) line(text []byte, source string) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		e.foreign++
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil || fields["@message"] == nil {
		e.foreign++
		return
	}
	e.take(event(fields, named(string(text[:start]), source)))
}

// named returns the last word before a line's object, or the source if there
// is none.
func named(prefix, source string) string {
	for _, word := range slices.Backward(strings.Fields(prefix)) {
		if word = strings.Trim(word, "|:"); word != "" {
			return word
		}
	}
	return source
}

// event decodes a line; a moment that does not decode sorts first.
func event(fields map[string]any, source string) Event {
	ev := Event{Source: source, Fields: map[string]string{}}
	for name, value := range fields {
		text := fmt.Sprint(value)
		switch name {
		case "@timestamp":
			ev.At, _ = time.Parse(time.RFC3339Nano, text) // The zero time then.
		case "@message":
			ev.What = text
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

// about lists the messages that explain what became of a host, an agent or an
// owner.
var about = []string{
	"runner discovered", "runner drain state changed", "runner is shutting down", "runner lost",
	"runner did not confirm the lease", "agent did not confirm orders", "flows taken over", "agent started", "agent stopped",
	// Messages of earlier versions with the same meaning.
	"runner known", "runner drains", "runner leaves", "runner was not held", "orders were not confirmed", "agent runs", "agent stops",
}

func (e *Explainer) take(ev Event) {
	task := ev.Fields["task"]
	switch {
	case ev.What == "log lines dropped":
		var n int
		if _, err := fmt.Sscan(ev.Fields["count"], &n); err != nil {
			n = 1 // At least one is missing.
		}
		e.dropped += n
	case ev.Fields["flow"] == string(e.flow) || strings.HasPrefix(task, string(e.flow)+"/"):
		if task != "" {
			ev.Fields["task"] = strings.TrimPrefix(task, string(e.flow)+"/")
		}
		delete(ev.Fields, "flow")
		e.own = append(e.own, ev)
		if host := ev.Fields["host"]; host != "" {
			e.hosts[host], e.agents[ev.Fields["agent"]] = true, true
		}
	case slices.Contains(about, ev.What):
		e.others = append(e.others, ev)
	}
}

// matters reports whether a line about a host, an agent or an owner belongs
// to the story.
func (e *Explainer) matters(ev Event, first, last time.Time) bool {
	if ev.At.Before(first) || ev.At.After(last) {
		return false
	}
	switch ev.What {
	case "flows taken over":
		return true
	case "runner discovered", "agent started", "agent stopped", "runner known", "agent runs", "agent stops":
		// If an agent of the story discovers its runner again, the runner has
		// restarted and lost its runs.
		return e.sources()[ev.Source]
	}
	return e.hosts[ev.Fields["life"]] || e.agents[ev.Fields["agent"]]
}

// sources lists the processes that have told of the flow.
func (e *Explainer) sources() map[string]bool {
	found := map[string]bool{}
	for _, ev := range e.own {
		found[ev.Source] = true
	}
	return found
}

// Story returns what was read, and KindMissing if no line names the flow.
func (e *Explainer) Story() (*Story, error) {
	if len(e.own) == 0 {
		return nil, cowslipbend.Fail(cowslipbend.KindMissing, "no log line names flow "+string(e.flow), "give the logs of all entries and agents at the time of the request")
	}
	s := &Story{Flow: e.flow, Events: slices.Clone(e.own), Counts: map[string]int{}, Foreign: e.foreign, Dropped: e.dropped}
	byTime := func(list []Event) {
		sort.SliceStable(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
	}
	byTime(s.Events)
	first, last := s.Events[0].At, s.Events[len(s.Events)-1].At
	for _, ev := range e.others {
		if e.matters(ev, first, last) {
			s.Events = append(s.Events, ev)
		}
	}
	byTime(s.Events)
	for _, ev := range s.Events {
		s.Counts[label(ev)]++
	}
	return s, nil
}

// label names an event with its outcome.
func label(ev Event) string {
	for _, field := range []string{"outcome", "how"} {
		if v := ev.Fields[field]; v != "" {
			return ev.What + " " + v
		}
	}
	return ev.What
}

// Text returns the fields of an event in the order of their names.
func (ev *Event) Text() string {
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
