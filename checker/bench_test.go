package checker

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkDecode measures decoding and validating a whole set by its number
// of teams; each team has a limit, two services and a job.
func BenchmarkDecode(b *testing.B) {
	for _, teams := range []int{10, 60, 360} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			files := Files{"pool.yaml": []byte("kind: pool\nname: p\n")}
			for i := range teams {
				var text strings.Builder
				fmt.Fprintf(&text, "kind: team\nname: t%d\nquota: {cpu: 40, mem: 100G}\n---\nkind: limit\nname: l%d\nteam: t%d\nrate: 100\n", i, i, i)
				for k := range 2 {
					fmt.Fprintf(&text, "---\nkind: service\nname: s%d-%d\npool: p\nteam: t%d\nreplicas: 8\nsize: {cpu: 2, mem: 4G}\nobjective: {p99: 40ms, good: 0.999}\n", i, k, i)
				}
				fmt.Fprintf(&text, "---\nkind: job\nid: j%d\npool: p\nteam: t%d\nclass: c\ntasks: 10\nsize: {cpu: 1, mem: 1G}\n", i, i)
				files[fmt.Sprintf("team-%d.yaml", i)] = []byte(text.String())
			}
			b.ReportAllocs()
			for b.Loop() {
				_, err := Decode(files)
				assert.NilError(b, err)
			}
		})
	}
}
