package pipeline

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// writeTimeout is the timeout of a write to a client that does not read. It is longer than any
// client waits for a response.
const writeTimeout = 30 * time.Second

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
}

// serve runs the handler and completes the response after the previous one has been written.
func (x *exchange) serve(h http.Handler) {
	defer x.connection.finishExchange(x)
	aborted := x.handle(h)
	close(x.handled)
	<-x.previousDone
	if aborted || x.writeErr != nil {
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
		head.Write(x.buffered.Bytes())
		head.WriteString("\r\n")
	} else {
		head.Write(x.buffered.Bytes())
	}
	x.write(head.Bytes())
}

func (x *exchange) write(p []byte) {
	if x.writeErr == nil {
		_ = x.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, x.writeErr = x.connection.Write(p)
	}
}

// body is a request body that closes readToEnd once it has been read to the end or has failed.
type body struct {
	io.ReadCloser
	exchange *exchange
	// awaitsContinue is set while the client waits for "100 Continue" before it sends the body.
	awaitsContinue bool
	once           sync.Once
	readToEnd      chan struct{}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.awaitsContinue {
		b.awaitsContinue = false
		<-b.exchange.previousDone
		b.exchange.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { close(b.readToEnd) })
	}
	return n, err
}
