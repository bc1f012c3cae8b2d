package comparer

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
)

// Build is a source tree in which the bench builds and plays. The name of a build
// stands for its code: results of that name are taken up again.
type Build struct{ Name, Dir string }

// Plan lists what to play.
type Plan struct {
	// Bench is the path of the users' bench.
	Bench      string
	Old, New   Build
	Sites      []string
	Days       []string
	FirstSeed  uint64
	Seeds      int
	Concurrent int
	// Out is the file of the results, a JSON line each.
	Out string
	// Progress receives a line for each play.
	Progress io.Writer
}

// Check returns all faults of the plan.
func (p *Plan) Check() error {
	var l cowslipbend.Errors
	if p.Old.Name == "" || p.New.Name == "" || p.Old.Name == p.New.Name {
		l.Add(cowslipbend.Invalid("--old, --new", "need two different names", "give NAME=DIR for each"))
	}
	checkPath(&l, "--bench", p.Bench)
	checkPath(&l, "--old", p.Old.Dir)
	checkPath(&l, "--new", p.New.Dir)
	for _, site := range p.Sites {
		checkPath(&l, "--site", site)
	}
	if len(p.Sites) == 0 || len(p.Days) == 0 || p.Seeds < 1 || p.Concurrent < 1 {
		l.Add(cowslipbend.Invalid("plan", "has nothing to play", "give at least one site, day, seed and concurrent play"))
	}
	return l.Err()
}

// checkPath adds a fault unless the path is absolute and something is there: the bench
// runs in the source trees.
func checkPath(l *cowslipbend.Errors, flag, path string) {
	if _, err := os.Stat(path); err != nil || !filepath.IsAbs(path) {
		l.Add(cowslipbend.Invalid(flag, fmt.Sprintf("%q is not an absolute path to something that can be read", path), "give the whole path"))
	}
}

// Run plays what the file of results lacks, and returns all results of the plan. Plays
// that fail are joined in the error; the others stand in the file.
func Run(ctx context.Context, p Plan) ([]Pair, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	known, err := readResults(p.Out)
	if err != nil {
		return nil, err
	}
	out, err := os.OpenFile(p.Out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "give a file that can be written as --out", "results cannot be written")
	}
	defer func() { _ = out.Close() }()
	var mu sync.Mutex // of known, failures and the output
	var failures []error
	g := errgroup.Group{}
	g.SetLimit(p.Concurrent)
	missing := slices.DeleteFunc(p.plays(), func(play Play) bool {
		_, ok := known[play]
		return ok
	})
	for _, play := range missing {
		g.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			result, err := run(ctx, p.Bench, p.dirOf(play), play)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = appendResult(out, &result)
			}
			if err != nil {
				failures = append(failures, err)
				return nil
			}
			known[play] = result
			_, _ = fmt.Fprintf(p.Progress, "%s: worth %.3f %v\n", play, result.Worth, result.Broken)
			return nil
		})
	}
	_ = g.Wait()
	return p.pairs(known), errors.Join(append(failures, ctx.Err())...)
}

// plays lists the plays, those that are compared with each other side by side.
func (p *Plan) plays() []Play {
	var list []Play
	for seed := range p.Seeds {
		for _, site := range p.Sites {
			for _, day := range p.Days {
				for _, build := range []Build{p.Old, p.New} {
					list = append(list, Play{build.Name, site, day, p.FirstSeed + uint64(seed)})
				}
			}
		}
	}
	return list
}

func (p *Plan) dirOf(play Play) string {
	if play.Build == p.New.Name {
		return p.New.Dir
	}
	return p.Old.Dir
}

// pairs returns the pairs of which both plays are known.
func (p *Plan) pairs(known map[Play]Result) []Pair {
	var list []Pair
	plays := p.plays()
	for i := 0; i < len(plays); i += 2 {
		older, okOld := known[plays[i]]
		newer, okNew := known[plays[i+1]]
		if okOld && okNew {
			list = append(list, Pair{older, newer})
		}
	}
	return list
}

func appendResult(out io.Writer, r *Result) error {
	line, err := json.Marshal(r)
	if err == nil {
		_, err = out.Write(append(line, '\n'))
	}
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "check the file of results", "the result of %s cannot be written", r.Play)
	}
	return nil
}

// readResults returns the results in a file, none if there is no file.
func readResults(path string) (map[Play]Result, error) {
	known := map[Play]Result{}
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return known, nil
	}
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "give a file that can be read as --out", "results cannot be read")
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		var r Result
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "remove the line, or give another file as --out", "line %d of %s is not a result", number, path)
		}
		known[r.Play] = r
	}
	return known, lines.Err()
}
