package explainer_test

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/explainer"
)

const submissionLine = `{"@message":"flow submission","@module":"entry.intaker","@timestamp":"2026-02-06T21:06:45.0Z","flow":"f","outcome":"accepted"}`

func readLog(t *testing.T, log string) *explainer.Explainer {
	t.Helper()
	e := explainer.New("f")
	assert.NilError(t, e.Read(strings.NewReader(log), "log"))
	return e
}

func readTimeline(t *testing.T, log string) *explainer.Timeline {
	t.Helper()
	s, err := readLog(t, log).Timeline()
	assert.NilError(t, err)
	return s
}

// flowLog returns a log with the message about flow f, the same message about
// a task of flow g, and the end of a run of f.
func flowLog(message string) string {
	line := `{"@message":"` + message + `","@module":"m","@timestamp":"2026-02-06T21:06:45.5Z","flow":"f","task":"f/0/0/0","host":"h","agent":"a","outcome":"accepted"}`
	return line + "\n" + strings.ReplaceAll(line, `"f`, `"g`) + "\n" +
		`{"@message":"run ended","@module":"m","@timestamp":"2026-02-06T21:06:46.0Z","flow":"f","how":"done"}`
}

// hostLog returns a log of flow f, which runs on host h. It has the message about
// h and about the next incarnation of h during the flow, about h after the flow,
// and from another process about host i.
func hostLog(message string) string {
	const start = `{"@message":"start ordered","@module":"m","@timestamp":"2026-02-06T21:06:45.0Z","flow":"f","host":"h","agent":"a"}`
	const end = `{"@message":"run ended","@module":"m","@timestamp":"2026-02-06T21:06:46.0Z","flow":"f","how":"done"}`
	at := func(moment, host string) string {
		return `{"@message":"` + message + `","@module":"m","@timestamp":"2026-02-06T21:06:` + moment + `Z","life":"` + host + `"}`
	}
	return strings.Join([]string{start, at("45.5", "h"), at("45.7", "h2"), at("47.0", "h"), "other " + at("45.6", "i"), end}, "\n")
}

// withMessage returns the events of a timeline with message old replaced by
// current.
func withMessage(s *explainer.Timeline, old, current string) []explainer.Event {
	events := slices.Clone(s.Events)
	for i := range events {
		if events[i].Message == old {
			events[i].Message = current
		}
	}
	return events
}

func TestTimeline(t *testing.T) {
	t.Run("lines of other flows are ignored", func(t *testing.T) {
		s := readTimeline(t, submissionLine+"\n"+strings.Replace(submissionLine, `"f"`, `"ff"`, 1))
		assert.Equal(t, len(s.Events), 1)
	})
	for _, c := range []struct {
		old, current string
		lines        int // lines of the message that belong to the timeline
	}{
		{"runner drains", "runner drain state changed", 1},
		{"runner leaves", "runner is shutting down", 1},
		{"runner was not held", "runner did not confirm the lease", 1},
		{"orders were not confirmed", "agent did not confirm orders", 1},
		// These belong to the timeline by process, whatever incarnation of the host
		// they name.
		{"runner known", "runner discovered", 2},
		{"agent runs", "agent started", 2},
		{"agent stops", "agent stopped", 2},
	} {
		old, current := c.old, c.current
		t.Run("the old message "+old+" is read like the new one", func(t *testing.T) {
			oldTimeline, newTimeline := readTimeline(t, hostLog(old)), readTimeline(t, hostLog(current))
			assert.Equal(t, len(newTimeline.Events), 2+c.lines)
			assert.Equal(t, newTimeline.Counts[current], c.lines)
			assert.Equal(t, oldTimeline.Counts[old], c.lines)
			assert.DeepEqual(t, withMessage(oldTimeline, old, current), newTimeline.Events)
		})
	}
	for old, current := range map[string]string{
		"submit": "flow submission", "cancel": "flow cancellation", "start": "start ordered", "stop": "stop ordered",
	} {
		t.Run("the old message "+old+" is read like the new one", func(t *testing.T) {
			oldTimeline, newTimeline := readTimeline(t, flowLog(old)), readTimeline(t, flowLog(current))
			assert.Equal(t, len(newTimeline.Events), 2)
			assert.Equal(t, newTimeline.Counts[current+" accepted"], 1)
			assert.Equal(t, oldTimeline.Counts[old+" accepted"], 1)
			assert.DeepEqual(t, withMessage(oldTimeline, old, current), newTimeline.Events)
		})
	}
	t.Run("lines that are no log lines are counted", func(t *testing.T) {
		s := readTimeline(t, "panic: x\n{\n{\"a\":1}\n"+submissionLine)
		assert.Equal(t, s.InvalidLines, 3)
	})
	t.Run("fields with spaces are quoted", func(t *testing.T) {
		s := readTimeline(t, strings.Replace(submissionLine, "accepted", "not taken", 1))
		assert.Equal(t, s.Events[0].FormatFields(), `outcome="not taken"`)
	})
	t.Run("a flow without lines is missing", func(t *testing.T) {
		_, err := readLog(t, "").Timeline()
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindMissing)
	})
	t.Run("a line longer than the limit is refused", func(t *testing.T) {
		err := explainer.New("f").Read(strings.NewReader(strings.Repeat("x", 2<<20)), "log")
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
	})
}

func FuzzRead(f *testing.F) {
	f.Add(submissionLine)
	f.Add(`x {"@message":1,"@timestamp":{},"task":"f/","flow":["f"]}`)
	f.Fuzz(func(t *testing.T, log string) {
		e := explainer.New("f")
		if err := e.Read(strings.NewReader(log), "log"); err != nil {
			return
		}
		if s, err := e.Timeline(); err == nil {
			assert.Assert(t, len(s.Events) > 0)
		}
	})
}
