package checker

import (
	"encoding/json"
	"io/fs"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"sigs.k8s.io/yaml"

	"cowslipbend.dev"
	"cowslipbend.dev/examples"
)

// assertFaults checks that the error holds exactly the wanted faults, in
// order; each is given as a substring. All must have a remedy.
func assertFaults(t *testing.T, err error, want ...string) {
	t.Helper()
	var l cowslipbend.Errors
	l.Add(err)
	assert.Equal(t, len(l), len(want), "%v", err)
	for i, e := range l {
		assert.Assert(t, strings.Contains(e.Error(), want[i]), "%q lacks %q", e.Error(), want[i])
		assert.Assert(t, e.Remedy != "", "%q has no remedy", e.Error())
		assert.Equal(t, e.Kind, cowslipbend.KindInvalid)
	}
}

func TestExamples(t *testing.T) {
	for _, firm := range []string{"first", "fraser", "easement"} {
		t.Run(firm, func(t *testing.T) {
			root, err := fs.Sub(examples.Sets, firm)
			assert.NilError(t, err)
			files, err := Read(root)
			assert.NilError(t, err)
			_, err = Decode(files)
			assert.NilError(t, err)
		})
	}
	jobs, err := fs.Glob(examples.Jobs, "jobs/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(jobs) > 0)
	for _, name := range jobs {
		t.Run(name, func(t *testing.T) {
			data, err := fs.ReadFile(examples.Jobs, name)
			assert.NilError(t, err)
			_, err = DecodeJob(name, data)
			assert.NilError(t, err)
		})
	}
}

const team = "kind: team\nname: closers\n"

func TestDecode(t *testing.T) {
	decode := func(files map[string]string) error {
		f := Files{}
		for name, text := range files {
			f[name] = []byte(text)
		}
		_, err := Decode(f)
		return err
	}
	t.Run("unknown fields and wrong types are reported together, with their lines", func(t *testing.T) {
		err := decode(map[string]string{"a.yaml": "# first\nkind: team\nname: 3\nsize: 1\n---\n\nkind: team\nname: b\nshare: lots\n"})
		assertFaults(t, err, "a.yaml:3: name: 3 is not a string", "a.yaml:4: size: is not a known field", "a.yaml:9: share: ")
	})
	t.Run("a field of a nested object is found by its path", func(t *testing.T) {
		err := decode(map[string]string{"a.yaml": "kind: pool\nname: p\nspare: 0\nweights:\n  tail: 1\n  spare: 2\n"})
		assertFaults(t, err, "a.yaml:6: weights.spare: is not a known field")
	})
	t.Run("a duplicate is reported with both positions", func(t *testing.T) {
		err := decode(map[string]string{"a.yaml": team, "b.yaml": "# again\n" + team})
		assertFaults(t, err, "b.yaml:2: team closers: is declared at a.yaml:2 too")
	})
	t.Run("decoding and validation faults are reported together", func(t *testing.T) {
		err := decode(map[string]string{"a.yaml": team + "share: -1\n", "b.yaml": "kind: rock\n"})
		assertFaults(t, err, "a.yaml:3: team closers.share: is below zero", `b.yaml:1: kind: "rock" is unknown`)
	})
	t.Run("references are checked once all files decode", func(t *testing.T) {
		limit := "kind: limit\nname: l\nteam: nobody\nrate: 1\n"
		assertFaults(t, decode(map[string]string{"a.yaml": limit}), `a.yaml:3: limit l.team: no team is named "nobody"`)
		assertFaults(t, decode(map[string]string{"a.yaml": limit, "b.yaml": "kind: rock\n"}), `"rock" is unknown`)
	})
	t.Run("a document that is not an object is refused", func(t *testing.T) {
		assertFaults(t, decode(map[string]string{"a.yaml": "- kind: team\n"}), "a.yaml:1:")
	})
	t.Run("NaN and infinite amounts are refused", func(t *testing.T) {
		err := decode(map[string]string{"a.yaml": team + "quota: {cpu: .nan, mem: \"NaN\"}\n"})
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
		err = decode(map[string]string{"a.yaml": team + "quota: {cpu: \"NaN\", mem: \"Inf\"}\n"})
		assertFaults(t, err, "quota.cpu", "quota.mem")
	})
}

func TestDecodeJob(t *testing.T) {
	const job = "id: a\npool: p\nteam: t\nclass: c\ntasks: 1\nsize: {cpu: 1, mem: 1G}\n"
	t.Run("the kind may be left out", func(t *testing.T) {
		for _, text := range []string{job, "kind: job\n" + job} {
			j, err := DecodeJob("j.yaml", []byte(text))
			assert.NilError(t, err)
			assert.Equal(t, j.ID, cowslipbend.JobID("a"))
		}
	})
	t.Run("a file must hold exactly one job", func(t *testing.T) {
		_, err := DecodeJob("j.yaml", []byte(job+"---\n"+job))
		assertFaults(t, err, "holds 2 jobs")
		_, err = DecodeJob("j.yaml", nil)
		assertFaults(t, err, "holds 0 jobs")
	})
	t.Run("all faults are reported with their lines", func(t *testing.T) {
		_, err := DecodeJob("j.yaml", []byte(strings.Replace(job, "tasks: 1", "tasks: 0", 1)+"urgency: soon\n"))
		assertFaults(t, err, "j.yaml:5: job.tasks", "j.yaml:7: job.urgency")
	})
}

func TestSchema(t *testing.T) {
	wordPattern := regexp.MustCompile(`^[a-z0-9]+$`)
	var checkSchema func(t *testing.T, path string, s *Schema)
	checkSchema = func(t *testing.T, path string, s *Schema) {
		assert.Assert(t, s.Description != "", "%s has no description", path)
		for name, p := range s.Properties {
			assert.Assert(t, wordPattern.MatchString(name), "%s is not one word", name)
			checkSchema(t, path+"."+name, p)
		}
		if s.Type == "object" {
			assert.Assert(t, s.Additional != nil && !*s.Additional, "%s admits other fields", path)
		}
	}
	for _, kind := range Kinds() {
		t.Run(kind, func(t *testing.T) {
			s, err := SchemaOf(kind)
			assert.NilError(t, err)
			checkSchema(t, kind, s)
			assert.Equal(t, len(s.Properties), kindType(kind).NumField()+1)
		})
	}
	t.Run("an unknown kind is refused", func(t *testing.T) {
		_, err := SchemaOf("rock")
		assertFaults(t, err, "use job, limit, pool, service, team")
	})
}

// FuzzDecode checks that a set that is accepted survives a publish: it can be
// encoded as JSON, decodes to an equal set and passes validation again.
func FuzzDecode(f *testing.F) {
	for _, firm := range []string{"first", "fraser", "easement"} {
		_ = fs.WalkDir(examples.Sets, firm, func(name string, d fs.DirEntry, err error) error {
			if err == nil && !d.IsDir() {
				data, _ := fs.ReadFile(examples.Sets, name)
				f.Add(data)
			}
			return nil
		})
	}
	for _, text := range []string{
		"", "---", "kind: team", "kind: [team]\nname: a", "{\"kind\":\"pool\",\"name\":\"p\",\"weights\":3}", "kind: team\nname: \"\\xff\"",
		"kind: limit\nname: a\nteam: b\nrate: 1e400", "a: &x [*x]", "kind: job\nid: a\nsize: {cpu: -1m, mem: 1e16}", "\x00",
		"kind: pool\nname: p\nspare: 9223372036854775808",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := Decode(Files{"f.yaml": data})
		if err != nil {
			assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
			return
		}
		raw, err := json.Marshal(set)
		assert.NilError(t, err)
		var decoded cowslipbend.Set
		assert.NilError(t, yaml.UnmarshalStrict(raw, &decoded))
		assert.Assert(t, reflect.DeepEqual(*set, decoded), "%s", raw)
		assert.NilError(t, Check(&decoded))
	})
}
