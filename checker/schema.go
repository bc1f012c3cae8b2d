package checker

import (
	"reflect"
	"strings"

	"cowslipbend.dev"
)

// Schema is the subset of JSON Schema that describes declarations.
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
	// Additional is false for objects, as unknown fields are rejected.
	Additional *bool     `json:"additionalProperties,omitempty"`
	OneOf      []*Schema `json:"oneOf,omitempty"`
}

// schemaVersion identifies the version of JSON Schema.
const schemaVersion = "https://json-schema.org/draft/2020-12/schema"

// Kinds returns the kinds of declarations.
func Kinds() []string { return []string{"job", "limit", "pool", "service", "team"} }

// SchemaOf returns the schema of a kind of declaration, or for an empty kind
// the schema of a declaration of any kind. An unknown kind returns
// KindInvalid.
func SchemaOf(kind string) (*Schema, error) {
	if kind == "" {
		s := &Schema{Schema: schemaVersion, Title: "declaration of cowslipbend"}
		for _, k := range Kinds() {
			s.OneOf = append(s.OneOf, declarationSchema(k, kindType(k)))
		}
		return s, nil
	}
	t := kindType(kind)
	if t == nil {
		return nil, cowslipbend.Invalid("kind", kind+" is unknown", "use "+strings.Join(Kinds(), ", "))
	}
	s := declarationSchema(kind, t)
	s.Schema = schemaVersion
	return s, nil
}

func kindType(kind string) reflect.Type {
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

// declarationSchema returns the schema of a declaration, including its kind.
func declarationSchema(kind string, t reflect.Type) *Schema {
	s := structSchema(kind, t)
	s.Title = kind
	s.Description = descriptions[kind]
	s.Properties["kind"] = &Schema{Const: kind, Description: "Kind of the declaration."}
	s.Required = append([]string{"kind"}, s.Required...)
	return s
}

func structSchema(path string, t reflect.Type) *Schema {
	additional := false
	s := &Schema{Type: "object", Properties: map[string]*Schema{}, Additional: &additional}
	for i := range t.NumField() {
		name, opts, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fieldPath := joinPath(path, name)
		p := fieldSchema(fieldPath, t.Field(i).Type)
		p.Description = fieldDescription(fieldPath)
		s.Properties[name] = p
		if !strings.Contains(opts, "omit") {
			s.Required = append(s.Required, name)
		}
	}
	return s
}

func fieldSchema(path string, t reflect.Type) *Schema {
	zero := 0.0
	if values, ok := enumValues[path]; ok {
		return &Schema{Type: "string", Enum: values}
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
		return structSchema(path, t)
	case reflect.String:
		return &Schema{Type: "string"}
	case reflect.Float64:
		return &Schema{Type: "number", Minimum: &zero}
	default:
		return &Schema{Type: "integer", Minimum: &zero}
	}
}

// enumValues lists the values that a field accepts.
var enumValues = map[string][]string{
	"pool.policy": {"guarded", "firstfit", "leastloaded"},
	"job.urgency": {string(cowslipbend.Urgent), string(cowslipbend.Normal), string(cowslipbend.Spare)},
}

// fieldDescription returns the description of the field with the path. Fields
// of resources have one description in all kinds, under their name alone.
func fieldDescription(path string) string {
	if text, ok := descriptions[path]; ok {
		return text
	}
	return descriptions[path[strings.LastIndex(path, ".")+1:]]
}

// descriptions holds the descriptions of kinds and fields by path.
var descriptions = map[string]string{
	"pool":                   "A unit of scheduling: workers with one queue and one journal.",
	"pool.name":              "Name of the pool, as in the settings of its workers.",
	"pool.weights":           "Relative weights of the goals of placement; 1 each if all are left out.",
	"pool.weights.tail":      "Weight of the tail latency of services.",
	"pool.weights.batch":     "Weight of batch throughput.",
	"pool.weights.evict":     "Weight of avoiding evictions.",
	"pool.spare":             "Percentage of each worker that is kept free for urgent work, 0 to 90.",
	"pool.policy":            "Placement policy; guarded by default.",
	"team":                   "An owner of jobs and services.",
	"team.name":              "Name of the team.",
	"team.quota":             "Resources that batch tasks of the team may hold at once in each pool; unbounded if left out.",
	"team.share":             "Weight of the team in fair sharing; 1 by default.",
	"limit":                  "A bound on the requests of a team, a service or both.",
	"limit.name":             "Name of the limit.",
	"limit.team":             "Team whose requests are bounded; every team if left out.",
	"limit.service":          "Service whose requests are bounded; every service if left out.",
	"limit.rate":             "Requests per second over all entries.",
	"limit.burst":            "Requests that may arrive at once; the rate of one second by default.",
	"service":                "A latency-critical service.",
	"service.name":           "Name of the service, as callers give it in the request path.",
	"service.pool":           "Pool whose workers run the replicas.",
	"service.team":           "Team that owns the service.",
	"service.class":          "Class under which interference is estimated; the name of the service by default.",
	"service.replicas":       "Number of replicas, 1 to 10000.",
	"service.size":           "Resources that one replica reserves.",
	"service.slots":          "Requests that one endpoint processes concurrently.",
	"service.conns":          "Connections that one endpoint accepts.",
	"service.work":           "Text passed to the worker unchanged.",
	"service.objective":      "Service level objective.",
	"service.objective.p99":  "Bound on the 99th percentile of the response time.",
	"service.objective.good": "Fraction of requests that must be answered in time, such as 0.999.",
	"service.timeout":        "Timeout of a request without a deadline of its own; none if left out.",
	"service.queue":          "Requests that may be queued in one entry.",
	"job":                    "A set of identical batch tasks.",
	"job.id":                 "Id of the job within its pool; submitting the same id and content again has no effect.",
	"job.pool":               "Pool that runs the job.",
	"job.team":               "Team that owns the job.",
	"job.class":              "Class under which resource use and interference are estimated.",
	"job.urgency":            "Priority in the queue; normal by default.",
	"job.tasks":              "Number of tasks, 1 to 10000.",
	"job.size":               "Resources that one task reserves.",
	"job.length":             "Expected run time of one task; unknown if left out.",
	"job.work":               "Text passed to the worker unchanged.",
	"job.service":            "Set by the system for replicas; leave it out.",
	"cpu":                    "Processor cores, such as 1.5 or 500m.",
	"mem":                    "Memory in bytes, such as 512M or 2G.",
	"accel":                  "Whole accelerators.",
}
