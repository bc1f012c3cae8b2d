package explainer_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/explainer"
)

const submitted = `{"@message":"submit","@module":"entry.intaker","@timestamp":"2026-02-06T21:06:45.0Z","flow":"f","outcome":"accepted"}`

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

func TestStory(t *testing.T) {
	t.Run("lines of other flows are passed over", func(t *testing.T) {
		s := story(t, submitted+"\n"+strings.Replace(submitted, `"f"`, `"ff"`, 1))
		assert.Equal(t, len(s.Events), 1)
	})
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
