package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/server"
)

// TestSessions runs the archives in testdata/sessions, each against a system
// of its own. With -update it writes what it saw into them.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/sessions",
		Setup: func(env *testscript.Env) error {
			env.Values[systemKey{}] = startSystem(env.T().(testing.TB))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cowslip": func(ts *testscript.TestScript, neg bool, args []string) { report(ts, neg, shell(ts, args)) },
			"call":    func(ts *testscript.TestScript, neg bool, args []string) { report(ts, neg, request(ts, args)) },
			"until":   until,
			"store":   store,
		},
		UpdateScripts: flag.Lookup("update").Value.String() == "true",
	})
}

type systemKey struct{}

func systemOf(ts *testscript.TestScript) *system { return ts.Value(systemKey{}).(*system) }

// result is what one command of a session gave.
type result struct {
	code int
	out  string
	errs string
}

// report shows the result to the script and holds it to what the script
// expects.
func report(ts *testscript.TestScript, neg bool, r result) {
	_, _ = io.WriteString(ts.Stdout(), mask(r.out))
	_, _ = io.WriteString(ts.Stderr(), mask(r.errs))
	if r.code != 0 {
		_, _ = fmt.Fprintf(ts.Stderr(), "exit status %d\n", r.code)
	}
	if neg != (r.code != 0) {
		ts.Fatalf("exit status %d\n%s%s", r.code, r.out, r.errs)
	}
}

// volatile lists what differs from run to run.
var volatile = []struct {
	what *regexp.Regexp
	with string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "127.0.0.1:PORT"},
	{regexp.MustCompile(`(?m)^(ledger +)e\d( +)\d+`), "${1}OWNER${2}EPOCH"},
	{regexp.MustCompile(`Retry-After: \d+`), "Retry-After: SECONDS"},
	{regexp.MustCompile(`"after":"[^"]*"`), `"after":"SPAN"`},
	{regexp.MustCompile(`(?m)^(entry|agent) \w+ is silent\n`), ""}, // Who has been heard yet.
	{regexp.MustCompile(`processes \(\d\)`), "processes (N)"},
	{regexp.MustCompile(`seen from entry e\d`), "seen from entry ENTRY"},
	{regexp.MustCompile(`"(at|cpu|epoch)": \d+`), `"$1": NUMBER`},
	{regexp.MustCompile(`"(owner|entry)": "e\d"`), `"$1": "ENTRY"`},
}

func mask(text string) string {
	for _, v := range volatile {
		text = v.what.ReplaceAllString(text, v.with)
	}
	return text
}

// shell runs cowslip against the system, with a first argument "second" only
// against the second entry. A last argument "<file" gives the standard input.
func shell(ts *testscript.TestScript, args []string) result {
	entries := systemOf(ts).entries
	if len(args) > 0 && args[0] == "second" {
		entries, args = entries[1:], args[1:]
	}
	var in io.Reader = strings.NewReader("")
	if last := len(args) - 1; last >= 0 && strings.HasPrefix(args[last], "<") {
		in = strings.NewReader(ts.ReadFile(args[last][1:]))
		args = args[:last]
	}
	full := []string{"cowslip"}
	for _, e := range entries {
		full = append(full, "--entry", e)
	}
	for i, a := range args {
		if i > 0 && !strings.HasPrefix(a, "-") && isPath(ts, a) {
			a = ts.MkAbs(a)
		}
		full = append(full, a)
	}
	var out, errs bytes.Buffer
	code := Run(context.Background(), full, in, &out, &errs)
	work := ts.Getenv("WORK") + string(os.PathSeparator)
	return result{code, strings.ReplaceAll(out.String(), work, ""), strings.ReplaceAll(errs.String(), work, "")}
}

// isPath reports whether an argument names something in the script's
// directory, as cowslip runs in another one.
func isPath(ts *testscript.TestScript, arg string) bool {
	_, err := os.Stat(ts.MkAbs(arg))
	return err == nil || strings.HasSuffix(arg, ".html") || strings.HasSuffix(arg, ".yaml")
}

// request sends a caller's request: [second] METHOD PATH [HEADER:VALUE]...
// [BODY]. With "second" it goes to the second entry.
func request(ts *testscript.TestScript, args []string) result {
	entry := systemOf(ts).entries[0]
	if len(args) > 0 && args[0] == "second" {
		entry, args = systemOf(ts).entries[1], args[1:]
	}
	if len(args) < 2 {
		ts.Fatalf("usage: call METHOD PATH [HEADER:VALUE]... [BODY]")
	}
	body := ""
	header := http.Header{}
	for _, a := range args[2:] {
		if name, value, ok := strings.Cut(a, ":"); ok && !strings.HasPrefix(a, "{") {
			header.Set(name, value)
			continue
		}
		body = a
	}
	req, err := http.NewRequest(args[0], entry+args[1], strings.NewReader(body))
	ts.Check(err)
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	ts.Check(err)
	var b strings.Builder
	fmt.Fprintln(&b, resp.Status)
	for _, name := range []string{cowslipbend.HeaderOutcome, "Retry-After"} {
		if v := resp.Header.Get(name); v != "" {
			fmt.Fprintf(&b, "%s: %s\n", name, v)
		}
	}
	fmt.Fprintf(&b, "\n%s\n", bytes.TrimRight(data, "\n"))
	return result{out: b.String()}
}

// patience bounds the waits for a condition, which come true much earlier.
const patience = 60 * time.Second

// until repeats a command until its output matches: until REGEXP COMMAND...
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until REGEXP COMMAND...")
	}
	want := regexp.MustCompile(args[0])
	run := shell
	if args[1] == "call" {
		run = request
	}
	var last result
	for began := time.Now(); time.Since(began) < patience; time.Sleep(50 * time.Millisecond) {
		last = run(ts, args[2:])
		if want.MatchString(last.out + last.errs) {
			_, _ = io.WriteString(ts.Stdout(), mask(last.out))
			_, _ = io.WriteString(ts.Stderr(), mask(last.errs))
			return
		}
	}
	ts.Fatalf("%q did not come; last seen:\n%s%s", args[0], last.out, last.errs)
}

// store sets the mode of the store: store up|down|mute|cut.
func store(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 || !slices.Contains([]string{up, down, mute, cut}, args[0]) {
		ts.Fatalf("usage: store up|down|mute|cut")
	}
	systemOf(ts).mode.Store(args[0])
}

func TestExitCodes(t *testing.T) {
	run := func(args ...string) (int, string) {
		var out, errs bytes.Buffer
		code := Run(context.Background(), append([]string{"cowslip"}, args...), strings.NewReader(""), &out, &errs)
		return code, errs.String()
	}
	t.Run("unreachable entries fail without effect", func(t *testing.T) {
		code, errs := run("--entry", "http://127.0.0.1:1", "--entry", "http://127.0.0.1:2", "status")
		assert.Equal(t, code, 1)
		assert.Assert(t, strings.Contains(errs, "name another entry"), errs)
	})
	t.Run("every wrong URL is named", func(t *testing.T) {
		code, errs := run("--entry", "nonsense", "--entry", "ftp://x", "status")
		assert.Equal(t, code, 2)
		assert.Equal(t, strings.Count(errs, "is no URL"), 2, errs)
	})
	t.Run("unknown flags are refused", func(t *testing.T) {
		code, errs := run("status", "--nosuch")
		assert.Equal(t, code, 2)
		assert.Assert(t, strings.Contains(errs, "cowslip status --help"), errs)
	})
	t.Run("a wrong secret is denied", func(t *testing.T) {
		srv := httptest.NewServer(server.Guard("right", http.NotFoundHandler()))
		defer srv.Close()
		code, errs := run("--entry", srv.URL, "--secret", "wrong", "status")
		assert.Equal(t, code, 1)
		assert.Assert(t, strings.Contains(errs, "wrong or missing secret"), errs)
	})
	t.Run("a call goes to the next entry if the first cannot be reached", func(t *testing.T) {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"entry":"e9"}`) }))
		defer srv.Close()
		code, errs := run("--entry", "http://127.0.0.1:1", "--entry", srv.URL, "status")
		assert.Equal(t, code, 0, errs)
	})
	t.Run("a write without an answer is unknown and goes nowhere else", func(t *testing.T) {
		var calls atomic.Int64
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				_, _ = io.WriteString(w, `{"set":{"pools":[{"name":"p"}]}}`)
				return
			}
			calls.Add(1)
			panic(http.ErrAbortHandler)
		})
		one, two := httptest.NewServer(h), httptest.NewServer(h)
		defer one.Close()
		defer two.Close()
		code, errs := run("--entry", one.URL, "--entry", two.URL, "drain", "w1")
		assert.Equal(t, code, 3, errs)
		assert.Equal(t, calls.Load(), int64(1))
	})
}
