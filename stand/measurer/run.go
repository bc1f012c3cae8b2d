// Package measurer runs cases with several policies, interleaved, appends the
// result lines to a file, and writes tables and plots from all lines in it.
package measurer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/hashicorp/go-hclog"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/reporter"
	"cowslipbend.dev/stand/try"
)

// Plan lists what to run. Every combination runs, with the seeds in the
// outermost and the policies in the innermost loop, so that runs that are
// compared with each other follow one another directly.
type Plan struct {
	Firms    []string
	Cases    []string
	Policies []string
	Guard    string
	Only     string
	LeaseCap cowslipbend.Span
	// FirstSeed is the first of the Seeds consecutive seeds.
	FirstSeed uint64
	// CancelOpen cancels the jobs that are open when the load ends, instead of
	// waiting for them.
	CancelOpen bool
	Seeds      int
	// LoadTime is the time under load; 0 for the length of each case.
	LoadTime cowslipbend.Span
	// Out is the directory of the result lines, the page and the plots.
	Out string
	Log hclog.Logger
}

// Line is one result with the options it was run with.
type Line struct {
	reporter.Result
	LoadTime cowslipbend.Span `json:"for"`
	LeaseCap cowslipbend.Span `json:"cap,omitempty"`
}

const (
	linesFile = "results.jsonl"
	pageFile  = "RESULTS.md"
	fileMode  = 0o644
)

// Run runs the plan, appends its lines to the file, and writes the page.
func Run(ctx context.Context, p Plan) error {
	for seed := range p.Seeds {
		for _, firm := range p.Firms {
			for _, name := range p.Cases {
				for _, policy := range p.Policies {
					o := try.Options{
						Firm: firm, Case: name, Policy: policy, Guard: p.Guard, Only: p.Only, LeaseCap: p.LeaseCap, CancelOpen: p.CancelOpen,
						LoadTime: p.LoadTime, Seed: p.FirstSeed + uint64(seed), Log: p.Log,
					}
					if err := p.runTry(ctx, o); err != nil {
						return err
					}
				}
			}
		}
	}
	return Render(p.Out)
}

// runTry runs one try and appends its line to the file. A try that fails is
// logged and leaves no line.
func (p Plan) runTry(ctx context.Context, o try.Options) error {
	r, err := try.Run(ctx, o)
	if cowslipbend.KindOf(err) == cowslipbend.KindInvalid {
		return err
	}
	if err != nil {
		p.Log.Error("try failed; no result line is kept", "firm", o.Firm, "case", o.Case, "policy", o.Policy, "seed", o.Seed, "error", err)
		return ctx.Err()
	}
	data, err := json.Marshal(Line{Result: r, LoadTime: o.LoadTime, LeaseCap: o.LeaseCap})
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "result cannot be encoded as JSON")
	}
	f, err := os.OpenFile(filepath.Join(p.Out, linesFile), os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return writeFailed(err)
	}
	_, err = f.Write(append(data, '\n'))
	if err := errors.Join(err, f.Close()); err != nil {
		return writeFailed(err)
	}
	return nil
}

func writeFailed(err error) error {
	return cowslipbend.Failf(cowslipbend.KindInvalid, err, "give a directory that exists and can be written", "results cannot be written")
}

// readLines returns the result lines in the directory, or none if it has no file
// of them.
func readLines(dir string) ([]Line, error) {
	data, err := os.ReadFile(filepath.Join(dir, linesFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, writeFailed(err)
	}
	var lines []Line
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, len(data)+1)
	for scanner.Scan() {
		var l Line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "remove the damaged line", "%s has a line that cannot be decoded", linesFile)
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}
