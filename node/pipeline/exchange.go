package pipeline

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// maxBufferedBytes is the largest response body that is buffered until the handler returns; a
// larger one is streamed.
const maxBufferedBytes = 128 << 10

// maxStatus is the highest status code that HTTP defines (RFC 9110, section 15).
const maxStatus = 599

// exchange is one request and its response. It implements http.ResponseWriter for the handler.
type exchange struct {
	connection *connection
	request    *http.Request
	// previousDone is closed when the previous request has been answered, done when this one has.
	previousDone, done chan struct{}
	// handled is closed when the handler has returned.
	handled chan struct{}
	// closeAfter is set when the connection is closed after the response.
	closeAfter bool

	header http.Header
	// status is the status of the response, valid once statusSet is set.
	status    int
	statusSet bool
	buffered  bytes.Buffer
	started   bool
	chunked   bool
	writeErr  error

	mu sync.Mutex
	// held is the memory that is reserved for the request, in bytes, and forced the part of it that the response takes
	// beyond answerBytes.
	held, forced int64
	// finished is set once the request has been answered and holds nothing any more.
	finished bool
}

// charge adds reserved bytes to those that are released when the request has been answered. It returns false if that
// has happened, since a sender may still read the body of a request whose handler has returned.
func (x *exchange) charge(bytes int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finished {
		return false
	}
	x.held += bytes
	return true
}

// takeHeld returns the bytes to release.
func (x *exchange) takeHeld() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	held := x.held
	x.held, x.finished = 0, true
	return held
}

// settle replaces what was reserved for the request by what its response takes, once the handler has returned.
func (x *exchange) settle() {
	x.mu.Lock()
	left := min(x.held, int64(x.buffered.Cap()))
	surplus := x.held - left
	x.held = left
	x.mu.Unlock()
	x.connection.release(surplus)
}

// serve runs the handler and completes the response after the previous one has been written.
func (x *exchange) serve(h http.Handler) {
	defer x.connection.finishExchange(x)
	aborted := x.handle(h)
	close(x.handled)
	x.settle()
	<-x.previousDone
	if aborted || x.writeErr != nil {
		if x.started && !x.chunked && x.header.Get("Content-Length") == "" {
			x.connection.resetOnClose()
		}
		x.connection.abort()
		return
	}
	if !x.started {
		x.header.Set("Content-Length", strconv.Itoa(x.bodyLength()))
		x.writeHead()
	}
	if x.chunked {
		x.write([]byte("0\r\n\r\n"))
	}
	if x.writeErr != nil {
		x.connection.abort()
	}
}

// bodyLength returns the Content-Length of a response that is buffered completely.
func (x *exchange) bodyLength() int {
	if x.request.Method == http.MethodHead {
		if n, err := strconv.Atoi(x.header.Get("Content-Length")); err == nil {
			return n
		}
	}
	return x.buffered.Len()
}

func (x *exchange) handle(h http.Handler) (aborted bool) {
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler { //nolint:errorlint // the value of a panic
				panic(p)
			}
			aborted = true
		}
	}()
	h.ServeHTTP(x, x.request)
	return false
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter. A status that no final response has aborts the connection.
func (x *exchange) WriteHeader(status int) {
	if x.statusSet {
		return
	}
	if status < http.StatusOK || status > maxStatus {
		panic(http.ErrAbortHandler)
	}
	x.status, x.statusSet = status, true
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if x.request.Method == http.MethodHead || !hasBody(x.status) {
		return len(p), nil
	}
	if !x.started && x.buffered.Len()+len(p) <= maxBufferedBytes {
		x.growBuffer(len(p))
		return x.buffered.Write(p)
	}
	if !x.started {
		<-x.previousDone
		x.chunked = x.header.Get("Content-Length") == "" && x.request.ProtoAtLeast(1, 1)
		x.writeHead()
	}
	if x.chunked {
		x.write([]byte(strconv.FormatInt(int64(len(p)), 16) + "\r\n"))
		x.write(p)
		x.write([]byte("\r\n"))
	} else {
		x.write(p)
	}
	if x.writeErr != nil {
		return 0, x.writeErr
	}
	return len(p), nil
}

// growBuffer makes room for further bytes of a buffered response: for all of it at once if its length is known. What
// exceeds the reservation is forced, as the request has run; the number of requests that run at a time bounds it.
func (x *exchange) growBuffer(n int) {
	if x.buffered.Cap()-x.buffered.Len() >= n {
		return
	}
	if length, err := strconv.Atoi(x.header.Get("Content-Length")); err == nil && length <= maxBufferedBytes {
		n = max(n, length-x.buffered.Len())
	}
	x.buffered.Grow(n)
	if more := int64(x.buffered.Cap()) - answerBytes - x.forced; more > 0 && x.charge(more) {
		x.forced += more
		x.connection.server.options.Memory.Force(more)
		x.connection.hold(more)
	}
}

func hasBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeHead writes the response head and the buffered body. The previous response must be complete.
func (x *exchange) writeHead() {
	x.started = true
	x.WriteHeader(http.StatusOK)
	if x.chunked {
		x.header.Set("Transfer-Encoding", "chunked")
	} else if !hasBody(x.status) {
		x.header.Del("Content-Length")
	}
	if x.connection.mustClose(x) {
		x.header.Set("Connection", "close")
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 " + strconv.Itoa(x.status) + " " + http.StatusText(x.status) + "\r\n")
	// Writing to a bytes.Buffer does not fail.
	_ = x.header.Write(&head)
	head.WriteString("\r\n")
	if x.chunked && x.buffered.Len() > 0 {
		head.WriteString(strconv.FormatInt(int64(x.buffered.Len()), 16) + "\r\n")
		x.write(head.Bytes(), x.buffered.Bytes(), []byte("\r\n"))
		return
	}
	x.write(head.Bytes(), x.buffered.Bytes())
}

// write writes the parts in one call where the connection allows it.
func (x *exchange) write(parts ...[]byte) {
	if x.writeErr != nil {
		return
	}
	x.connection.beginWrite()
	defer x.connection.endWrite()
	buffers := net.Buffers(parts)
	x.writeErr = x.connection.writePaced(&buffers)
}
