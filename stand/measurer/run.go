// Package measurer plays cases with several policies, interleaved, keeps the
// result lines, and writes tables and plots from all lines kept so far.
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

// Plan says what to play: every combination, the seeds outermost and the
// policies innermost, so that what is compared runs side by side.
type Plan struct {
	Firms    []string
	Cases    []string
	Policies []string
	Guard    string
	Only     string
	Cap      cowslipbend.Span
	// First is the first of so many seeds.
	First uint64
	// Cancel cancels what is open after the load instead of waiting for it.
	Cancel bool
	Seeds  int
	For    cowslipbend.Span
	// Out is the directory of documents.
	Out string
	Log hclog.Logger
}

// Line is one result with what was set for it.
type Line struct {
	reporter.Result
	For cowslipbend.Span `json:"for"`
	Cap cowslipbend.Span `json:"cap,omitempty"`
}

const (
	linesFile = "results.jsonl"
	pageFile  = "RESULTS.md"
	mode      = 0o644
)

// Run plays the plan, adds its lines to those kept, and writes the page.
func Run(ctx context.Context, p Plan) error {
	for seed := range p.Seeds {
		for _, firm := range p.Firms {
			for _, name := range p.Cases {
				for _, policy := range p.Policies {
					o := try.Options{
						Firm: firm, Case: name, Policy: policy, Guard: p.Guard, Only: p.Only, LeaseCap: p.Cap, CancelOpen: p.Cancel,
						LoadTime: p.For, Seed: p.First + uint64(seed), Log: p.Log,
					}
					if err := p.one(ctx, o); err != nil {
						return err
					}
				}
			}
		}
	}
	return Render(p.Out)
}

// one plays one try and keeps its line. A try that does not come about is
// logged and kept as none.
func (p Plan) one(ctx context.Context, o try.Options) error {
	r, err := try.Run(ctx, o)
	if cowslipbend.KindOf(err) == cowslipbend.KindInvalid {
		return err
	}
	if err != nil {
		p.Log.Error("try failed", "firm", o.Firm, "case", o.Case, "policy", o.Policy, "seed", o.Seed, "error", err)
		return ctx.Err()
	}
	data, err := json.Marshal(Line{Result: r, For: o.LoadTime, Cap: o.LeaseCap})
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "result does not encode")
	}
	f, err := os.OpenFile(filepath.Join(p.Out, linesFile), os.O_APPEND|os.O_CREATE|os.O_WRONLY, mode)
	if err != nil {
		return unwritable(err)
	}
	_, err = f.Write(append(data, '\n'))
	if err := errors.Join(err, f.Close()); err != nil {
		return unwritable(err)
	}
	return nil
}

func unwritable(err error) error {
	return cowslipbend.Failf(cowslipbend.KindInvalid, err, "give a directory that exists and can be written", "results cannot be written")
}

// read returns the lines kept in the directory.
func read(dir string) ([]Line, error) {
	data, err := os.ReadFile(filepath.Join(dir, linesFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, unwritable(err)
	}
	var lines []Line
	scan := bufio.NewScanner(bytes.NewReader(data))
	scan.Buffer(nil, len(data)+1)
	for scan.Scan() {
		var l Line
		if err := json.Unmarshal(scan.Bytes(), &l); err != nil {
			return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "remove the damaged line", "%s does not decode", linesFile)
		}
		lines = append(lines, l)
	}
	return lines, scan.Err()
}
