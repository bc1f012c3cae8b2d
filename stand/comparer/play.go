package comparer

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"cowslipbend.dev"
)

// Play is a day that a build plays with a seed.
type Play struct {
	Build string `json:"build"`
	Site  string `json:"site"`
	Day   string `json:"day"`
	Seed  uint64 `json:"seed"`
}

// String names the play in messages.
func (p Play) String() string {
	return p.Build + " on " + p.Site + " " + p.Day + " seed " + strconv.FormatUint(p.Seed, 10)
}

// Result is what a play came to.
type Result struct {
	Play
	Worth float64 `json:"worth"`
	// Queues holds the worth of each queue.
	Queues map[string]float64 `json:"queues"`
	// Broken lists the broken rules and faults.
	Broken []string `json:"broken,omitempty"`
}

// report is the part of a bench report that is read.
type report struct {
	Worth  *float64                   `json:"G"`
	Broken map[string]json.RawMessage `json:"breaks"`
	Fault  *string                    `json:"fault"`
	Queues []struct {
		Name  string  `json:"name"`
		Worth float64 `json:"worth"`
	} `json:"classes"`
}

// maxOutput is the length of the end of the bench's output in an error.
const maxOutput = 400 // bytes

// run plays a day in the directory of a build.
func run(ctx context.Context, bench, dir string, p Play) (Result, error) {
	file := filepath.Join(os.TempDir(), strings.ReplaceAll("compare "+p.String(), string(filepath.Separator), "_")+".json")
	defer func() { _ = os.Remove(file) }()
	cmd := exec.CommandContext(ctx, bench, "run", p.Site, p.Day, "--seed", strconv.FormatUint(p.Seed, 10), "--no-cpu", "--why", "trial: comparison, build "+p.Build, "--report", file)
	cmd.Dir = dir
	output, err := cmd.CombinedOutput()
	if err != nil {
		output = bytes.TrimSpace(output)
		return Result{}, cowslipbend.Failf(cowslipbend.KindBroken, err, "run the bench by hand in "+dir, "%s ended early: %s", p, output[max(len(output)-maxOutput, 0):])
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return Result{}, cowslipbend.Failf(cowslipbend.KindBroken, err, "run the bench by hand in "+dir, "%s left no report", p)
	}
	return decodeReport(p, data)
}

func decodeReport(p Play, data []byte) (Result, error) {
	var r report
	if err := json.Unmarshal(data, &r); err != nil || r.Worth == nil {
		return Result{}, cowslipbend.Failf(cowslipbend.KindBroken, err, "use a bench whose reports have the field G", "the report of %s does not decode", p)
	}
	result := Result{Play: p, Worth: *r.Worth, Queues: map[string]float64{}}
	for _, q := range r.Queues {
		result.Queues[q.Name] = q.Worth
	}
	for rule := range r.Broken {
		result.Broken = append(result.Broken, rule)
	}
	if r.Fault != nil {
		result.Broken = append(result.Broken, *r.Fault)
	}
	return result, nil
}
