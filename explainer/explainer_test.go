package explainer_test

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/explainer"
)

const submitted = `{"@message":"flow submission","@module":"entry.intaker","@timestamp":"2026-02-06T21:06:45.0Z","flow":"f","outcome":"accepted"}`

func read(t *testing.T, log string) *explainer.Explainer {
	t.Helper()
	e := explainer.New("f")
	assert.NilError(t, e.Read(strings.NewReader(log), "log"))
	return e
}

func story(t *testing.T, log string) *explainer.Story {
	t.Helper()
	s, err := read(t, log).Story()
	assert.NilError(t, err)
	return s
}

// flowLog is a log with the message about flow f between others, about flow g
// and the end of f.
func flowLog(message string) string {
	line := `{"@message":"` + message + `","@module":"m","@timestamp":"2026-02-06T21:06:45.5Z","flow":"f","task":"f/0/0/0","host":"h","agent":"a","outcome":"accepted"}`
	return line + "\n" + strings.ReplaceAll(line, `"f`, `"g`) + "\n" +
		`{"@message":"run ended","@module":"m","@timestamp":"2026-02-06T21:06:46.0Z","flow":"f","how":"done"}`
}

// hostLog is a log of flow f, which ran on host h, with the message about h
// and about its next life within the time of the flow, about h after it, and
// from another process about another host.
func hostLog(message string) string {
	const start = `{"@message":"start ordered","@module":"m","@timestamp":"2026-02-06T21:06:45.0Z","flow":"f","host":"h","agent":"a"}`
	const end = `{"@message":"run ended","@module":"m","@timestamp":"2026-02-06T21:06:46.0Z","flow":"f","how":"done"}`
	at := func(moment, host string) string {
		return `{"@message":"` + message + `","@module":"m","@timestamp":"2026-02-06T21:06:` + moment + `Z","life":"` + host + `"}`
	}
	return strings.Join([]string{start, at("45.5", "h"), at("45.7", "h2"), at("47.0", "h"), "other " + at("45.6", "i"), end}, "\n")
}

// reworded returns the events with one message in place of another.
func reworded(s *explainer.Story, old, current string) []explainer.Event {
	events := slices.Clone(s.Events)
	for i := range events {
		if events[i].What == old {
			events[i].What = current
		}
	}
	return events
}

func TestStory(t *testing.T) {
	t.Run("lines of other flows are passed over", func(t *testing.T) {
		s := story(t, submitted+"\n"+strings.Replace(submitted, `"f"`, `"ff"`, 1))
		assert.Equal(t, len(s.Events), 1)
	})
	for _, c := range []struct {
		old, current string
		lines        int // of the message that belong to the story
	}{
		{"runner drains", "runner drain state changed", 1},
		{"runner leaves", "runner is shutting down", 1},
		{"runner was not held", "runner did not confirm the lease", 1},
		{"orders were not confirmed", "agent did not confirm orders", 1},
		// These are told by process, also with another life of the host.
		{"runner known", "runner discovered", 2},
		{"agent runs", "agent started", 2},
		{"agent stops", "agent stopped", 2},
	} {
		old, current := c.old, c.current
		t.Run("the old message "+old+" is read like the new one", func(t *testing.T) {
			had, now := story(t, hostLog(old)), story(t, hostLog(current))
			assert.Equal(t, len(now.Events), 2+c.lines)
			assert.Equal(t, now.Counts[current], c.lines)
			assert.Equal(t, had.Counts[old], c.lines)
			assert.DeepEqual(t, reworded(had, old, current), now.Events)
		})
	}
	for old, current := range map[string]string{
		"submit": "flow submission", "cancel": "flow cancellation", "start": "start ordered", "stop": "stop ordered",
	} {
		t.Run("the old message "+old+" is read like the new one", func(t *testing.T) {
			had, now := story(t, flowLog(old)), story(t, flowLog(current))
			assert.Equal(t, len(now.Events), 2)
			assert.Equal(t, now.Counts[current+" accepted"], 1)
			assert.Equal(t, had.Counts[old+" accepted"], 1)
			assert.DeepEqual(t, reworded(had, old, current), now.Events)
		})
	}
	t.Run("foreign lines are counted", func(t *testing.T) {
		s := story(t, "panic: x\n{\n{\"a\":1}\n"+submitted)
		assert.Equal(t, s.Foreign, 3)
	})
	t.Run("fields with spaces are quoted", func(t *testing.T) {
		s := story(t, strings.Replace(submitted, "accepted", "not taken", 1))
		assert.Equal(t, s.Events[0].Text(), `outcome="not taken"`)
	})
	t.Run("a flow without lines is told as missing", func(t *testing.T) {
		_, err := read(t, "").Story()
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindMissing)
	})
	t.Run("an endless line is refused", func(t *testing.T) {
		err := explainer.New("f").Read(strings.NewReader(strings.Repeat("x", 2<<20)), "log")
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
	})
}

func FuzzRead(f *testing.F) {
	f.Add(submitted)
	f.Add(`x {"@message":1,"@timestamp":{},"task":"f/","flow":["f"]}`)
	f.Fuzz(func(t *testing.T, log string) {
		e := explainer.New("f")
		if err := e.Read(strings.NewReader(log), "log"); err != nil {
			return
		}
		if s, err := e.Story(); err == nil {
			assert.Assert(t, len(s.Events) > 0)
		}
	})
}
