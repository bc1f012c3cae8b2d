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

// TestSessions runs the scripts in testdata/sessions, each against a system of
// its own. With -update it writes the actual output into them.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/sessions",
		Setup: func(env *testscript.Env) error {
			env.Values[systemKey{}] = startSystem(env.T().(testing.TB))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cowslip": func(ts *testscript.TestScript, neg bool, args []string) { reportResult(ts, neg, runCowslip(ts, args)) },
			"call":    func(ts *testscript.TestScript, neg bool, args []string) { reportResult(ts, neg, callEntry(ts, args)) },
			"until":   waitFor,
			"store":   setStoreMode,
		},
		UpdateScripts: flag.Lookup("update").Value.String() == "true",
	})
}

type systemKey struct{}

func scriptSystem(ts *testscript.TestScript) *system { return ts.Value(systemKey{}).(*system) }

// result is the result of one command of a session.
type result struct {
	exitCode int
	stdout   string
	stderr   string
}

// reportResult passes the output to the script and fails it if the command
// succeeded or failed contrary to the script's expectation.
func reportResult(ts *testscript.TestScript, neg bool, r result) {
	_, _ = io.WriteString(ts.Stdout(), mask(r.stdout))
	_, _ = io.WriteString(ts.Stderr(), mask(r.stderr))
	if r.exitCode != 0 {
		_, _ = fmt.Fprintf(ts.Stderr(), "exit status %d\n", r.exitCode)
	}
	if neg != (r.exitCode != 0) {
		ts.Fatalf("exit status %d\n%s%s", r.exitCode, r.stdout, r.stderr)
	}
}

// masks replace the parts of the output that differ from run to run.
var masks = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "127.0.0.1:PORT"},
	{regexp.MustCompile(`(?m)^(ledger +)e\d( +)\d+`), "${1}OWNER${2}EPOCH"},
	{regexp.MustCompile(`Retry-After: \d+`), "Retry-After: SECONDS"},
	{regexp.MustCompile(`"after":"[^"]*"`), `"after":"SPAN"`},
	{regexp.MustCompile(`(?m)^(entry|agent) \w+ is silent\n`), ""}, // Depends on which processes are in contact yet.
	{regexp.MustCompile(`processes \(\d\)`), "processes (N)"},
	{regexp.MustCompile(`seen from entry e\d`), "seen from entry ENTRY"},
	{regexp.MustCompile(`"(at|cpu|epoch)": \d+`), `"$1": NUMBER`},
	{regexp.MustCompile(`"(owner|entry)": "e\d"`), `"$1": "ENTRY"`},
}

func mask(text string) string {
	for _, v := range masks {
		text = v.pattern.ReplaceAllString(text, v.replacement)
	}
	return text
}

// runCowslip runs cowslip against the entries of the system, or against the
// second one only if the first argument is "second". A last argument "<file"
// names the standard input.
func runCowslip(ts *testscript.TestScript, args []string) result {
	entries := scriptSystem(ts).entryURLs
	if len(args) > 0 && args[0] == "second" {
		entries, args = entries[1:], args[1:]
	}
	var in io.Reader = strings.NewReader("")
	if last := len(args) - 1; last >= 0 && strings.HasPrefix(args[last], "<") {
		in = strings.NewReader(ts.ReadFile(args[last][1:]))
		args = args[:last]
	}
	commandLine := []string{"cowslip"}
	for _, e := range entries {
		commandLine = append(commandLine, "--entry", e)
	}
	for i, a := range args {
		if i > 0 && !strings.HasPrefix(a, "-") && isPath(ts, a) {
			a = ts.MkAbs(a)
		}
		commandLine = append(commandLine, a)
	}
	var out, errs bytes.Buffer
	code := Run(context.Background(), commandLine, in, &out, &errs)
	work := ts.Getenv("WORK") + string(os.PathSeparator)
	return result{code, strings.ReplaceAll(out.String(), work, ""), strings.ReplaceAll(errs.String(), work, "")}
}

// isPath reports whether an argument names a file in the script's directory.
// Such arguments are made absolute because cowslip runs in another directory.
func isPath(ts *testscript.TestScript, arg string) bool {
	_, err := os.Stat(ts.MkAbs(arg))
	return err == nil || strings.HasSuffix(arg, ".html") || strings.HasSuffix(arg, ".yaml")
}

// callEntry sends a request as a caller does, to the first entry or, with
// "second", to the second one: [second] METHOD PATH [HEADER:VALUE]... [BODY].
func callEntry(ts *testscript.TestScript, args []string) result {
	entry := scriptSystem(ts).entryURLs[0]
	if len(args) > 0 && args[0] == "second" {
		entry, args = scriptSystem(ts).entryURLs[1], args[1:]
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
	return result{stdout: b.String()}
}

// waitTimeout bounds waitFor. Conditions are met much earlier unless they fail.
const waitTimeout = 60 * time.Second

// waitFor repeats a command until its output matches. In a script:
// until REGEXP COMMAND...
func waitFor(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until REGEXP COMMAND...")
	}
	want := regexp.MustCompile(args[0])
	run := runCowslip
	if args[1] == "call" {
		run = callEntry
	}
	var last result
	for startedAt := time.Now(); time.Since(startedAt) < waitTimeout; time.Sleep(50 * time.Millisecond) {
		last = run(ts, args[2:])
		if want.MatchString(last.stdout + last.stderr) {
			_, _ = io.WriteString(ts.Stdout(), mask(last.stdout))
			_, _ = io.WriteString(ts.Stderr(), mask(last.stderr))
			return
		}
	}
	ts.Fatalf("output did not match %q in time; last output:\n%s%s", args[0], last.stdout, last.stderr)
}

// setStoreMode sets the fault mode of the store. In a script:
// store up|down|mute|cut.
func setStoreMode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 || !slices.Contains([]string{storeUp, storeDown, storeMute, storeCut}, args[0]) {
		ts.Fatalf("usage: store up|down|mute|cut")
	}
	scriptSystem(ts).storeMode.Store(args[0])
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
	t.Run("every invalid URL is reported", func(t *testing.T) {
		code, errs := run("--entry", "nonsense", "--entry", "ftp://x", "status")
		assert.Equal(t, code, 2)
		assert.Equal(t, strings.Count(errs, "is not an http URL"), 2, errs)
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
	t.Run("a write without an answer has an unknown effect and is not sent to another entry", func(t *testing.T) {
		var calls atomic.Int64
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				_, _ = io.WriteString(w, `{"set":{"pools":[{"name":"p"}]}}`)
				return
			}
			calls.Add(1)
			panic(http.ErrAbortHandler)
		})
		firstEntry, secondEntry := httptest.NewServer(h), httptest.NewServer(h)
		defer firstEntry.Close()
		defer secondEntry.Close()
		code, errs := run("--entry", firstEntry.URL, "--entry", secondEntry.URL, "drain", "w1")
		assert.Equal(t, code, 3, errs)
		assert.Equal(t, calls.Load(), int64(1))
	})
}
