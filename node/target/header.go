package target

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/auburnrelay/auburnrelay/node/plane"
)

// unforwardedHeaders are the hop-by-hop headers, and those that the transport sets itself; they
// are not forwarded.
var unforwardedHeaders = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Host":                true,
}

// isForwarded reports whether a header field with the canonical name is forwarded: it is neither
// hop-by-hop nor one of auburnrelay's own, which no other party may set.
func isForwarded(name string, connection []string) bool {
	if unforwardedHeaders[name] || strings.HasPrefix(name, headerPrefix) {
		return false
	}
	for _, list := range connection {
		for named := range strings.SplitSeq(list, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(named)) == name {
				return false
			}
		}
	}
	return true
}

// forwardHeader returns the header fields of a caller's request that are sent to the target.
func forwardHeader(fields []plane.Header) http.Header {
	header := make(http.Header, len(fields)+len("id,attempt,remaining,slice,fence"))
	var connection []string
	for _, f := range fields {
		if strings.EqualFold(f.Name, "Connection") {
			connection = append(connection, f.Value)
		}
	}
	for _, f := range fields {
		name := http.CanonicalHeaderKey(f.Name)
		if isForwarded(name, connection) {
			header[name] = append(header[name], f.Value)
		}
	}
	return header
}

// answerHead returns the head of the target's answer as it is sent to the caller.
func answerHead(call Call, info Info, response *http.Response) plane.Head {
	head := plane.Head{
		Status: response.StatusCode,
		Target: info.Name,
		Fence:  call.Fence,
		Length: response.ContentLength,
	}
	connection := response.Header["Connection"]
	for name, values := range response.Header {
		if !isForwarded(name, connection) {
			continue
		}
		for _, value := range values {
			head.Headers = append(head.Headers, plane.Header{Name: name, Value: value})
		}
	}
	return head
}

// workPath returns the path of a request at the target and its escaped form. The key is escaped
// to one path segment.
func workPath(service, key, rest string) (path, raw string) {
	plainRest, err := url.PathUnescape(rest)
	if err != nil {
		plainRest, rest = rest, (&url.URL{Path: rest}).EscapedPath()
	}
	path = "/work/" + service + "/" + key + plainRest
	raw = "/work/" + url.PathEscape(service) + "/" + escapeSegment(key) + rest
	return path, raw
}

// escapeSegment escapes a key as one path segment; dots are escaped where a server would
// otherwise interpret the segment as relative.
func escapeSegment(key string) string {
	if key == "." || key == ".." {
		return strings.ReplaceAll(key, ".", "%2E")
	}
	return url.PathEscape(key)
}
