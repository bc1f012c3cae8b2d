package checker

import (
	"reflect"
	"strings"

	"cowslipbend.dev"
)

// Schema is a JSON Schema, as far as declarations need one.
type Schema struct {
	Schema      string             `json:"$schema,omitempty"`
	Title       string             `json:"title,omitempty"`
	Description string             `json:"description,omitempty"`
	Type        any                `json:"type,omitempty"`
	Const       string             `json:"const,omitempty"`
	Enum        []string           `json:"enum,omitempty"`
	Pattern     string             `json:"pattern,omitempty"`
	Minimum     *float64           `json:"minimum,omitempty"`
	Properties  map[string]*Schema `json:"properties,omitempty"`
	Required    []string           `json:"required,omitempty"`
	// Additional is false for an object, which admits no other fields.
	Additional *bool     `json:"additionalProperties,omitempty"`
	OneOf      []*Schema `json:"oneOf,omitempty"`
}

// draft is the version of JSON Schema that is written.
const draft = "https://json-schema.org/draft/2020-12/schema"

// Kinds returns the kinds of declarations.
func Kinds() []string { return []string{"job", "limit", "pool", "service", "team"} }

// SchemaOf returns the schema of a kind of declaration, or of any of them for
// the empty kind. An unknown kind gives KindInvalid.
func SchemaOf(kind string) (*Schema, error) {
	if kind == "" {
		s := &Schema{Schema: draft, Title: "declaration of cowslipbend"}
		for _, k := range Kinds() {
			s.OneOf = append(s.OneOf, object(k, typeOf(k)))
		}
		return s, nil
	}
	t := typeOf(kind)
	if t == nil {
		return nil, cowslipbend.Invalid("kind", kind+" is unknown", "use "+strings.Join(Kinds(), ", "))
	}
	s := object(kind, t)
	s.Schema = draft
	return s, nil
}

func typeOf(kind string) reflect.Type {
	switch kind {
	case "pool":
		return reflect.TypeFor[cowslipbend.Pool]()
	case "team":
		return reflect.TypeFor[cowslipbend.Team]()
	case "limit":
		return reflect.TypeFor[cowslipbend.Limit]()
	case "service":
		return reflect.TypeFor[cowslipbend.Service]()
	case "job":
		return reflect.TypeFor[cowslipbend.Job]()
	}
	return nil
}

// object returns the schema of a whole declaration with its kind.
func object(kind string, t reflect.Type) *Schema {
	s := structure(kind, t)
	s.Title = kind
	s.Description = describe[kind]
	s.Properties["kind"] = &Schema{Const: kind, Description: "What is declared."}
	s.Required = append([]string{"kind"}, s.Required...)
	return s
}

func structure(path string, t reflect.Type) *Schema {
	closed := false
	s := &Schema{Type: "object", Properties: map[string]*Schema{}, Additional: &closed}
	for i := range t.NumField() {
		name, opts, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		at := join(path, name)
		p := property(at, t.Field(i).Type)
		p.Description = description(at)
		s.Properties[name] = p
		if !strings.Contains(opts, "omit") {
			s.Required = append(s.Required, name)
		}
	}
	return s
}

func property(path string, t reflect.Type) *Schema {
	zero := 0.0
	if words, ok := enums[path]; ok {
		return &Schema{Type: "string", Enum: words}
	}
	switch t {
	case reflect.TypeFor[cowslipbend.Millicores]():
		return &Schema{Type: []string{"number", "string"}, Pattern: `^[0-9.]+m?$`, Minimum: &zero}
	case reflect.TypeFor[cowslipbend.Bytes]():
		return &Schema{Type: []string{"number", "string"}, Pattern: `^[0-9.]+[KMG]?$`, Minimum: &zero}
	case reflect.TypeFor[cowslipbend.Span]():
		return &Schema{Type: "string", Pattern: `^([0-9.]+(ms|s|m|h))+$`}
	}
	switch t.Kind() {
	case reflect.Struct:
		return structure(path, t)
	case reflect.String:
		return &Schema{Type: "string"}
	case reflect.Float64:
		return &Schema{Type: "number", Minimum: &zero}
	default:
		return &Schema{Type: "integer", Minimum: &zero}
	}
}

// enums lists the words that a field admits.
var enums = map[string][]string{
	"pool.policy": {"guarded", "firstfit", "leastloaded"},
	"job.urgency": {string(cowslipbend.Urgent), string(cowslipbend.Normal), string(cowslipbend.Spare)},
}

// description returns the text of a field; parts of resources read alike in
// every kind.
func description(path string) string {
	if text, ok := describe[path]; ok {
		return text
	}
	return describe[path[strings.LastIndex(path, ".")+1:]]
}

// describe holds the texts of kinds and fields.
var describe = map[string]string{
	"pool":                   "A unit of scheduling: workers with one queue and one journal.",
	"pool.name":              "Name of the pool; workers are given it in their settings.",
	"pool.weights":           "What placement trades off, as relative weights; all left out means 1 each.",
	"pool.weights.tail":      "Weight of the tail latency of services.",
	"pool.weights.batch":     "Weight of batch throughput.",
	"pool.weights.evict":     "Weight of avoiding evictions.",
	"pool.spare":             "Percentage of each worker that is kept free for urgent work, 0 to 90.",
	"pool.policy":            "Placement policy; guarded unless given.",
	"team":                   "Who owns jobs and services.",
	"team.name":              "Name of the team.",
	"team.quota":             "The most that batch of the team holds at once in each pool; left out means no bound.",
	"team.share":             "Weight of the team in fair sharing; 1 unless given.",
	"limit":                  "A bound on the requests of a team, a service or both.",
	"limit.name":             "Name of the limit.",
	"limit.team":             "Team whose requests are bounded; left out means every team.",
	"limit.service":          "Service whose requests are bounded; left out means every service.",
	"limit.rate":             "Requests a second over all entries.",
	"limit.burst":            "Requests that may come at once; one second's worth unless given.",
	"service":                "A latency-critical service.",
	"service.name":           "Name of the service; callers use it in the path.",
	"service.pool":           "Pool whose workers run the replicas.",
	"service.team":           "Team that owns the service.",
	"service.class":          "Class under which interference is learned; the name unless given.",
	"service.replicas":       "Count of replicas, 1 to 10000.",
	"service.size":           "What one replica reserves.",
	"service.slots":          "Requests that one endpoint runs at once.",
	"service.conns":          "Connections that one endpoint takes.",
	"service.work":           "Text handed to the worker as it is.",
	"service.objective":      "What the service promises.",
	"service.objective.p99":  "Longest answer time for all but one in a hundred requests.",
	"service.objective.good": "Share of requests that must be answered in time, such as 0.999.",
	"service.timeout":        "Bound on a request without a deadline of its own; left out means none.",
	"service.queue":          "Requests that may wait in one entry.",
	"job":                    "A set of equal batch tasks.",
	"job.id":                 "Name of the job within its pool; the same id and content again is the same job.",
	"job.pool":               "Pool that runs the job.",
	"job.team":               "Team that pays for the job.",
	"job.class":              "Class under which use and interference are learned.",
	"job.urgency":            "Order in the queue; normal unless given.",
	"job.tasks":              "Count of tasks, 1 to 10000.",
	"job.size":               "What one task reserves.",
	"job.length":             "Expected run time of one task; left out means unknown.",
	"job.work":               "Text handed to the worker as it is.",
	"job.service":            "Set by the system for replicas; leave it out.",
	"cpu":                    "Processor cores, such as 1.5 or 500m.",
	"mem":                    "Memory in bytes, such as 512M or 2G.",
	"accel":                  "Whole accelerators.",
}
