package crowder

import (
	"bytes"
	"fmt"
	"strings"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
)

// header returns the header of a POST request, up to its end, that announces what framing
// says.
func header(path, framing string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s\r\n", path, host, framing)
}

func submission(framing string) func(cowslipbend.JobID) []byte {
	return func(id cowslipbend.JobID) []byte { return header(route+string(id), framing) }
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// pad returns the text with white space up to the size.
func pad(text string, size int) []byte {
	return append([]byte(text), bytes.Repeat([]byte(" "), size-len(text))...)
}

// LargestJob is the body of a job that is as large as the rules and the interface allow:
// 4,000 bytes of spec, 100 steps, and white space.
func LargestJob() string {
	steps := strings.TrimSuffix(strings.Repeat(`{"count":1,"cpu":10,"mem_mb":1,"estimate_ms":100},`, 100), ",")
	return string(pad(fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, strings.Repeat("x", 4000), steps), MaxBody))
}

// UnfinishedBody returns a submission with a body of the largest size that lacks its last
// byte.
func UnfinishedBody() Message {
	return Message{Submits: true, Head: submission(length(MaxBody)), Body: []byte(LargestJob()[:MaxBody-1]), Unfinished: true}
}

// UnfinishedChunks returns the same in chunks of the size. The size divides MaxBody.
func UnfinishedChunks(size int) Message {
	var body bytes.Buffer
	for data := []byte(LargestJob()); len(data) > 0; data = data[size:] {
		fmt.Fprintf(&body, "%x\r\n%s\r\n", size, data[:size])
	}
	return Message{Submits: true, Head: submission("Transfer-Encoding: chunked\r\n"), Body: body.Bytes()[:body.Len()-len("x\r\n")], Unfinished: true}
}

// Job returns a submission with a complete body.
func Job(body []byte) Message {
	return Message{Submits: true, Head: submission(length(len(body))), Body: body}
}

// fill returns a body of the largest size that repeats the item as often as possible between
// the other parts.
func fill(before, item, after string) []byte {
	n := (MaxBody - len(before) - len(after)) / len(item)
	return pad(before+strings.TrimSuffix(strings.Repeat(item, n), ",")+after, MaxBody)
}

// ManySteps is the body of a job of very many empty steps.
func ManySteps() []byte { return fill(`{"spec":"x","steps":[`, `{},`, `]}`) }

// LaterSteps is the body of a job whose only step names very many steps that aren't earlier.
func LaterSteps() []byte { return fill(`{"spec":"x","steps":[{"count":1,"after":[`, `1,`, `]}]}`) }

// EarlierSteps is the body of a job whose second step names the first very many times.
func EarlierSteps() []byte {
	return fill(`{"spec":"x","steps":[{"count":1,"estimate_ms":100},{"count":1,"estimate_ms":100,"after":[`, `0,`, `]}]}`)
}

// InvalidText is the body of a job with a spec of bytes that aren't UTF-8. Each of them is
// decoded to three.
func InvalidText() []byte { return fill(`{"spec":"`, "\xff", `","steps":[{"count":1}]}`) }

// EscapedImage is the body of a job with an image of characters that are encoded to six bytes
// each.
func EscapedImage() []byte {
	return fill(`{"spec":"x","steps":[{"count":1,"estimate_ms":100,"image":"`, `<`, `"}]}`)
}

// RepeatedKeys is the body of a job that gives its steps again and again.
func RepeatedKeys() []byte {
	return fill(`{"spec":"x"`, `,"steps":[{"count":1,"image":"y"}]`, `}`)
}

// Silence returns a message without a byte.
func Silence() Message {
	return Message{Head: func(cowslipbend.JobID) []byte { return nil }, Unfinished: true}
}

// maxHeader is the size of the largest headers, which the entry accepts.
const maxHeader = 32 << 10

// UnfinishedHeader returns a submission whose header repeats a field up to the largest size and
// lacks its last byte. A number in the field grows.
func UnfinishedHeader(field string) Message {
	head := header(route+"0000000000000000", "")
	head = head[:len(head)-len("\r\n")]
	var fields []byte
	for n := 0; ; n++ {
		f := strings.ReplaceAll(field, "#", fmt.Sprintf("%x", n)) + "\r\n"
		if len(head)+len(fields)+len(f)+len("\r") > maxHeader {
			break
		}
		fields = append(fields, f...)
	}
	fields = append(fields, '\r')
	return Message{
		Head: func(id cowslipbend.JobID) []byte {
			h := header(route+string(id), "")
			return h[:len(h)-len("\r\n")]
		}, Body: fields, Unfinished: true,
	}
}

// Query returns a request for the number of waiting jobs.
func Query() Message {
	query := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", route, host)
	return Message{Head: func(cowslipbend.JobID) []byte { return query }}
}

// Queries returns a request for the number of waiting jobs, followed by others up to the size.
func Queries(size int) Message {
	m := Query()
	query := m.Head("")
	m.Body = bytes.Repeat(query, size/len(query))
	return m
}

// Sizes of bodies of internal calls.
const (
	maxCall      = 4 << 20
	maxHeartbeat = 64 << 10
)

// unfinishedCall returns a call with a body of the size that lacks its last byte.
func unfinishedCall(path string, size int) Message {
	return Message{
		Head: func(cowslipbend.JobID) []byte { return header(path, length(size)) },
		Body: pad("{", size-1), Unfinished: true,
	}
}

// UnfinishedReport returns a report of an agent to an entry that lacks its last byte.
func UnfinishedReport() Message { return unfinishedCall(conductor.PathReport, maxCall) }

// UnfinishedOrders returns orders of an entry to an agent that lack their last byte.
func UnfinishedOrders() Message { return unfinishedCall(conductor.PathOrders, maxCall) }

// UnfinishedHeartbeat returns a heartbeat of a runner that lacks its last byte.
func UnfinishedHeartbeat() Message {
	return unfinishedCall("/-/Instances.Heartbeat/i-9", maxHeartbeat)
}
