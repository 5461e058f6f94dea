package protocol

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The header fields of the platform.
const (
	headerID       = "X-Correlation-Id"
	headerKey      = "Idempotency-Key"
	headerClass    = "X-Service-Class"
	headerTimeLeft = "X-Time-Left-Ms"
	headerRepeat   = "X-Repeat"
	headerHint     = "X-Weight-Hint"
	headerFacts    = "X-Facts"
	headerLoad     = "X-Backend-Load"
	headerNotRun   = "X-Unprocessed"
)

// Class is what the protocol has to know of a class of requests.
type Class struct {
	Name     string
	Methods  []string
	Deadline time.Duration // for operations that do not say how much time is left
	Keyed    bool          // its operations name a key, by which repeats are dropped
}

// maxKey bounds a key, in bytes.
const maxKey = 256

// Operation is what a client's request says of itself.
type RequestMeta struct {
	Class       int
	ID          string
	TimeLeft    time.Duration
	CostHint    float64 // seconds of a core, 0 for none
	ClientRetry bool
}

// maxTimeLeft bounds what a client may ask for, so that no sum of times overflows.
const maxTimeLeft = 24 * time.Hour

func find(classes []Class, name string) int {
	return slices.IndexFunc(classes, func(c Class) bool { return c.Name == name })
}

// ReadOperation reads the figures of a request on the platform, whose class its path and field name. What it refuses
// never reaches a destination.
func ReadRequestMeta(m *Message, classes []Class) (RequestMeta, error) {
	path, _, _ := strings.Cut(m.StartLine[1], "?")
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	stated := m.Header[headerClass]
	class := find(classes, first)
	switch {
	case len(stated) > 1 || len(stated) == 1 && find(classes, stated[0]) < 0:
		return RequestMeta{}, bad(400, "unknown class in %s", headerClass)
	case class < 0 || !strings.HasPrefix(path, "/"):
		return RequestMeta{}, bad(404, "no such path")
	case len(stated) == 1 && stated[0] != first:
		return RequestMeta{}, bad(400, "path and %s name different classes", headerClass)
	case !slices.Contains(classes[class].Methods, m.StartLine[0]):
		return RequestMeta{}, wrongMethod("this class wants", classes[class].Methods)
	case len(m.Header[headerID]) != 1 || m.Header[headerID][0] == "":
		return RequestMeta{}, bad(400, "a request names one %s", headerID)
	}
	if err := checkKey(m.Header[headerKey], classes[class].Keyed); err != nil {
		return RequestMeta{}, err
	}
	return figures(m, class, classes[class].Deadline)
}

// checkKey tells what is wrong with the keys that a request names. A key is passed on as it is and never made up: a repeat
// under one that no destination has seen would run again.
func checkKey(keys []string, keyed bool) error {
	switch {
	case keyed && len(keys) != 1:
		return bad(400, "a request of this class names one %s", headerKey)
	case !keyed && len(keys) > 0:
		return bad(400, "this class takes no %s", headerKey)
	case keyed && (keys[0] == "" || len(keys[0]) > maxKey || !printable(keys[0])):
		return bad(400, "malformed %s", headerKey)
	}
	return nil
}

// Stated is the class that a request states, "" for none.
func (m *Message) StatedClass() string { return m.Header.Get(headerClass) }

// ReadRouted reads the figures of a request that a route has led to a pool with these classes. Where it states no class
// it is of the class as, or where that is "" of the first that takes its method. It need not name an id.
func ReadRoutedRequestMeta(m *Message, classes []Class, as string) (RequestMeta, error) {
	stated, ids := m.Header[headerClass], m.Header[headerID]
	if len(stated) == 1 {
		as = stated[0]
	}
	class := find(classes, as)
	if as == "" {
		class = slices.IndexFunc(classes, func(c Class) bool { return slices.Contains(c.Methods, m.StartLine[0]) })
	}
	switch {
	case len(stated) > 1 || class < 0 && as != "":
		return RequestMeta{}, bad(400, "unknown class in %s", headerClass)
	case class < 0:
		var all []string
		for _, c := range classes {
			all = append(all, c.Methods...)
		}
		slices.Sort(all)
		return RequestMeta{}, wrongMethod("this pool wants", slices.Compact(all))
	case !slices.Contains(classes[class].Methods, m.StartLine[0]):
		return RequestMeta{}, wrongMethod("this class wants", classes[class].Methods)
	case len(ids) > 1 || len(ids) == 1 && ids[0] == "":
		return RequestMeta{}, bad(400, "a request names one %s", headerID)
	}
	return figures(m, class, classes[class].Deadline)
}

func wrongMethod(who string, methods []string) *Error {
	allow := strings.Join(methods, ", ")
	return &Error{Status: 405, Reason: who + " " + allow, Allow: allow}
}

// figures reads what a request says of itself beside its class.
func figures(m *Message, class int, deadline time.Duration) (RequestMeta, error) {
	op := RequestMeta{Class: class, ID: m.Header.Get(headerID), TimeLeft: deadline}
	if m.StartLine[0] == "GET" && len(m.Body) > 0 { // a destination may take it for a further request
		return op, bad(400, "a GET has no body")
	}
	if v, given := m.Header[headerTimeLeft]; given {
		ms, err := strconv.ParseUint(v[0], 10, 53)
		if err != nil || len(v) > 1 {
			return op, bad(400, "malformed %s", headerTimeLeft)
		}
		op.TimeLeft = min(time.Duration(min(ms, uint64(maxTimeLeft/time.Millisecond)))*time.Millisecond, maxTimeLeft)
	}
	if v, given := m.Header[headerHint]; given {
		us, err := strconv.ParseFloat(v[0], 64)
		if err != nil || len(v) > 1 || math.IsInf(us, 0) || !(us >= 0) {
			return op, bad(400, "malformed %s", headerHint)
		}
		op.CostHint = us / 1e6
	}
	if v, given := m.Header[headerRepeat]; given {
		if len(v) > 1 || v[0] != "0" && v[0] != "1" {
			return op, bad(400, "malformed %s", headerRepeat)
		}
		op.ClientRetry = v[0] == "1"
	}
	for _, v := range m.Header[headerFacts] {
		if _, ok := pairs(v); !ok {
			return op, bad(400, "malformed %s", headerFacts)
		}
	}
	return op, nil
}

// pairs reads name=value,name=value.
func pairs(s string) (map[string]string, bool) {
	out := map[string]string{}
	for part := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || name == "" {
			return nil, strings.TrimSpace(s) == ""
		}
		out[name] = value
	}
	return out, true
}

// socketNames maps the words of the settings for the values of a load report to those on sockets.
func socketName(word string) string {
	switch word {
	case "rif":
		return "inflight"
	case "q":
		return "queue"
	case "busy":
		return "util"
	case "rate":
		return "qps"
	case "lat_ms":
		return "latency_ms"
	case "fail_rate":
		return "eps"
	}
	return word
}

// Load reads the load report of an answer in the order of the settings' fields; nil if it has none that is whole. One
// that cannot be read is passed over.
func (m *Message) LoadReport(fields []string) []float32 {
	for _, v := range m.Header[headerLoad] {
		if load := ParseLoadReport(v, fields); load != nil {
			return load
		}
	}
	return nil
}

// LoadReport reads a load report's text. Its values go by the words of the settings, or by those that the protocol shows:
// read by the latter alone, reports in the former were no reports, and the module steered by failures only.
func ParseLoadReport(text string, fields []string) []float32 {
	values, ok := pairs(strings.TrimSpace(text))
	if !ok || len(fields) == 0 {
		return nil
	}
	load := make([]float32, len(fields))
	for i, word := range fields {
		text, given := values[word]
		if !given {
			text = values[socketName(word)]
		}
		v, err := strconv.ParseFloat(text, 32)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return nil
		}
		load[i] = float32(v)
	}
	return load
}

// Declined is the value of a chain's field in an answer that is final: nothing ran, and another attempt would gain nothing.
const Declined = "declined"

// DeclinedBy tells whether an answer says so in the chain's field.
func (m *Message) IsDeclined(field string) bool {
	v := m.Header[field]
	return field != "" && (m.Status() == 503 || m.Status() == 508) && len(v) == 1 && v[0] == Declined
}

// NotRun tells whether an answer says that the request was turned away unseen.
func (m *Message) Unprocessed() bool {
	v := m.Header[headerNotRun]
	return (m.Status() == 503 || m.Status() == 504) && len(v) == 1 && v[0] == "1"
}
