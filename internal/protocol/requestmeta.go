package protocol

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Header fields defined by the platform.
const (
	headerCorrelationID  = "X-Correlation-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerClass          = "X-Service-Class"
	headerTimeLeft       = "X-Time-Left-Ms"
	headerClientRetry    = "X-Repeat"
	headerCostHint       = "X-Weight-Hint"
	headerFacts          = "X-Facts"
	headerLoadReport     = "X-Backend-Load"
	headerUnprocessed    = "X-Unprocessed"
)

// Class holds the properties of a request class that affect how its requests are read.
type Class struct {
	Name     string
	Methods  []string
	Deadline time.Duration // default for requests without X-Time-Left-Ms
	Keyed    bool          // requests carry an Idempotency-Key, by which endpoints drop duplicates
}

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 256

// RequestMeta holds the metadata that a client sends in the header fields of a request.
type RequestMeta struct {
	Class       int    // index into the classes
	ID          string // X-Correlation-Id; may be empty for routed requests
	TimeLeft    time.Duration
	CostHint    float64 // expected cost in CPU seconds; 0 if unknown
	ClientRetry bool    // the client has sent this request before
}

// maxTimeLeft is the maximum of X-Time-Left-Ms; it keeps sums of durations from overflowing.
const maxTimeLeft = 24 * time.Hour

// classIndex returns the index of the class with the given name, or -1.
func classIndex(classes []Class, name string) int {
	return slices.IndexFunc(classes, func(c Class) bool { return c.Name == name })
}

// ReadRequestMeta reads the metadata of a request whose class is given by the first path segment and, optionally, by
// X-Service-Class. A request for which it returns an error is never sent to an endpoint.
func ReadRequestMeta(m *Message, classes []Class) (RequestMeta, error) {
	path, _, _ := strings.Cut(m.StartLine[1], "?")
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	stated := m.Header[headerClass]
	class := classIndex(classes, first)
	switch {
	case len(stated) > 1 || len(stated) == 1 && classIndex(classes, stated[0]) < 0:
		return RequestMeta{}, errorf(400, "unknown class in %s", headerClass)
	case class < 0 || !strings.HasPrefix(path, "/"):
		return RequestMeta{}, errorf(404, "no such path")
	case len(stated) == 1 && stated[0] != first:
		return RequestMeta{}, errorf(400, "path and %s name different classes", headerClass)
	case !slices.Contains(classes[class].Methods, m.StartLine[0]):
		return RequestMeta{}, methodNotAllowed("this class wants", classes[class].Methods)
	case len(m.Header[headerCorrelationID]) != 1 || m.Header[headerCorrelationID][0] == "":
		return RequestMeta{}, errorf(400, "a request names one %s", headerCorrelationID)
	}
	if err := checkIdempotencyKey(m.Header[headerIdempotencyKey], classes[class].Keyed); err != nil {
		return RequestMeta{}, err
	}
	return readCommonFields(m, class, classes[class].Deadline)
}

// checkIdempotencyKey validates the idempotency keys of a request. Keys are forwarded unchanged and never generated here: a
// retry under a key that no endpoint has seen would run a second time.
func checkIdempotencyKey(keys []string, keyed bool) error {
	switch {
	case keyed && len(keys) != 1:
		return errorf(400, "a request of this class names one %s", headerIdempotencyKey)
	case !keyed && len(keys) > 0:
		return errorf(400, "this class takes no %s", headerIdempotencyKey)
	case keyed && (keys[0] == "" || len(keys[0]) > maxKeyBytes || !printable(keys[0])):
		return errorf(400, "malformed %s", headerIdempotencyKey)
	}
	return nil
}

// StatedClass returns the class named in X-Service-Class, or "".
func (m *Message) StatedClass() string { return m.Header.Get(headerClass) }

// ReadRoutedRequestMeta reads the metadata of a request that a route has assigned to a pool with the given classes. A
// request without X-Service-Class gets defaultClass or, if that is empty, the first class that allows its method. The
// correlation ID is optional.
func ReadRoutedRequestMeta(m *Message, classes []Class, defaultClass string) (RequestMeta, error) {
	stated, ids := m.Header[headerClass], m.Header[headerCorrelationID]
	if len(stated) == 1 {
		defaultClass = stated[0]
	}
	class := classIndex(classes, defaultClass)
	if defaultClass == "" {
		class = slices.IndexFunc(classes, func(c Class) bool { return slices.Contains(c.Methods, m.StartLine[0]) })
	}
	switch {
	case len(stated) > 1 || class < 0 && defaultClass != "":
		return RequestMeta{}, errorf(400, "unknown class in %s", headerClass)
	case class < 0:
		var all []string
		for _, c := range classes {
			all = append(all, c.Methods...)
		}
		slices.Sort(all)
		return RequestMeta{}, methodNotAllowed("this pool wants", slices.Compact(all))
	case !slices.Contains(classes[class].Methods, m.StartLine[0]):
		return RequestMeta{}, methodNotAllowed("this class wants", classes[class].Methods)
	case len(ids) > 1 || len(ids) == 1 && ids[0] == "":
		return RequestMeta{}, errorf(400, "a request names one %s", headerCorrelationID)
	}
	return readCommonFields(m, class, classes[class].Deadline)
}

// methodNotAllowed returns an Error with status 405. The prefix introduces the list of methods in the reason.
func methodNotAllowed(prefix string, methods []string) *Error {
	allow := strings.Join(methods, ", ")
	return &Error{Status: 405, Reason: prefix + " " + allow, Allow: allow}
}

// readCommonFields reads the metadata that does not depend on how the class was determined.
func readCommonFields(m *Message, class int, deadline time.Duration) (RequestMeta, error) {
	meta := RequestMeta{Class: class, ID: m.Header.Get(headerCorrelationID), TimeLeft: deadline}
	if m.StartLine[0] == "GET" && len(m.Body) > 0 { // an endpoint may parse the body as another request
		return meta, errorf(400, "a GET has no body")
	}
	if v, given := m.Header[headerTimeLeft]; given {
		ms, err := strconv.ParseUint(v[0], 10, 53)
		if err != nil || len(v) > 1 {
			return meta, errorf(400, "malformed %s", headerTimeLeft)
		}
		meta.TimeLeft = min(time.Duration(min(ms, uint64(maxTimeLeft/time.Millisecond)))*time.Millisecond, maxTimeLeft)
	}
	if v, given := m.Header[headerCostHint]; given {
		us, err := strconv.ParseFloat(v[0], 64)
		if err != nil || len(v) > 1 || math.IsInf(us, 0) || !(us >= 0) {
			return meta, errorf(400, "malformed %s", headerCostHint)
		}
		meta.CostHint = us / 1e6
	}
	if v, given := m.Header[headerClientRetry]; given {
		if len(v) > 1 || v[0] != "0" && v[0] != "1" {
			return meta, errorf(400, "malformed %s", headerClientRetry)
		}
		meta.ClientRetry = v[0] == "1"
	}
	for _, v := range m.Header[headerFacts] {
		if _, ok := parsePairs(v); !ok {
			return meta, errorf(400, "malformed %s", headerFacts)
		}
	}
	return meta, nil
}

// parsePairs parses a list of the form name=value,name=value.
func parsePairs(s string) (map[string]string, bool) {
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

// reportFieldName maps the name of a load report value in the settings to its name in the platform's protocol.
func reportFieldName(name string) string {
	switch name {
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
	return name
}

// LoadReport returns the values of the load report in a response, in the order of fields. Malformed and incomplete reports
// are ignored; if there is no other, the result is nil.
func (m *Message) LoadReport(fields []string) []float32 {
	for _, v := range m.Header[headerLoadReport] {
		if load := ParseLoadReport(v, fields); load != nil {
			return load
		}
	}
	return nil
}

// ParseLoadReport parses a load report and returns its values in the order of fields, or nil if it is malformed or
// incomplete. It accepts both the names used in the settings and those of the protocol: if it accepted only the latter,
// reports with the former would be ignored, and the decision module would have only failures to go by.
func ParseLoadReport(text string, fields []string) []float32 {
	values, ok := parsePairs(strings.TrimSpace(text))
	if !ok || len(fields) == 0 {
		return nil
	}
	load := make([]float32, len(fields))
	for i, name := range fields {
		text, given := values[name]
		if !given {
			text = values[reportFieldName(name)]
		}
		v, err := strconv.ParseFloat(text, 32)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return nil
		}
		load[i] = float32(v)
	}
	return load
}

// Declined is the value of the chain header field in a final response: the request was not processed, and a retry would
// fail as well.
const Declined = "declined"

// IsDeclined reports whether a response carries Declined in the given chain header field.
func (m *Message) IsDeclined(field string) bool {
	v := m.Header[field]
	return field != "" && (m.Status() == 503 || m.Status() == 508) && len(v) == 1 && v[0] == Declined
}

// Unprocessed reports whether a response states that the endpoint rejected the request without processing it.
func (m *Message) Unprocessed() bool {
	v := m.Header[headerUnprocessed]
	return (m.Status() == 503 || m.Status() == 504) && len(v) == 1 && v[0] == "1"
}
