package h1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// getAnswer gets an answer of which the server sends the text, with the request's id in place of ID, in pieces of that
// many bytes. It returns the body and reports whether the connection is kept.
func getAnswer(t *testing.T, text string, piece int) (body string, kept bool, err error) {
	t.Helper()
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		for rest := strings.ReplaceAll(text, "ID", request.Header.Get("Id")); rest != "" && err == nil; {
			n := min(piece, len(rest))
			_, err = io.WriteString(c, rest[:n])
			rest = rest[n:]
		}
		// A client that waits for the end of the connection gets it.
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, r)
	})
	dials := 0
	p := newPool(&dials)
	body, err = get(t, p, address, "a")
	return body, p.takeIdle(address) != nil, err
}

// TestAnswerWithAnInvalidFieldNameIsRejected guards against delivering an answer whose head is broken.
// http.ReadResponse accepts blanks in the name of a field, which then does not frame the body, and joins a line that
// begins with a blank to the field before it.
func TestAnswerWithAnInvalidFieldNameIsRejected(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nId: ID\r\n"
	long := "A: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n"
	rows := map[string]string{
		"blank in a name":                 begin + "Content-Length: 2\r\nX Y: z\r\n\r\nno",
		"blank behind a name":             begin + "Content-Length: 2\r\nX : z\r\n\r\nno",
		"blank behind the length":         begin + "Content-Length : 2\r\n\r\nno",
		"blank behind the coding":         begin + "Content-Length: 12\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"blank in the name of the coding": begin + "Content-Length: 12\r\nTransfer- Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"blank before a name":             begin + "Content-Length: 2\r\n X: y\r\n\r\nno",
		"tab before a name":               begin + "Content-Length: 2\r\n\tX: y\r\n\r\nno",
		"blank before the first name":     "HTTP/1.1 200 OK\r\n X: y\r\nId: ID\r\nContent-Length: 2\r\n\r\nno",
		"blank before a name, bare LF":    "HTTP/1.1 200 OK\nId: ID\nContent-Length: 2\n X: y\n\nno",
		"blank alone on a line":           begin + "Content-Length: 2\r\n \r\n\r\nno",
		"blank in a long head":            begin + "Content-Length: 2\r\n" + long + "X Y: z\r\n\r\nno",
		"blank before a name, long head":  begin + "Content-Length: 2\r\n" + long + " X: y\r\n\r\nno",
		"blank in an interim head":        "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + begin + "Content-Length: 2\r\n\r\nno",
		"blank before an interim name":    "HTTP/1.1 103 Early Hints\r\nX: y\r\n Z: z\r\n\r\n" + begin + "Content-Length: 2\r\n\r\nno",
		"blank behind an interim head":    "HTTP/1.1 103 Early Hints\r\n\r\n" + begin + "Content-Length: 2\r\n X: y\r\n\r\nno",
		"blank in another answer's head":  "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 2\r\nX Y: z\r\n\r\nno" + begin + "Content-Length: 2\r\n\r\nno",
		"tab in a name":                   begin + "Content-Length: 2\r\nX\tY: z\r\n\r\nno",
		"tab behind the length":           begin + "Content-Length\t: 2\r\n\r\nno",
		"NUL in a name":                   begin + "Content-Length: 2\r\nX\x00Y: z\r\n\r\nno",
		"CR in a name":                    begin + "Content-Length: 2\r\nX\rY: z\r\n\r\nno",
		"VT before a name":                begin + "Content-Length: 2\r\n\x0bX: z\r\n\r\nno",
		"DEL in a name":                   begin + "Content-Length: 2\r\nX\x7f: z\r\n\r\nno",
		"no name":                         begin + "Content-Length: 2\r\n: z\r\n\r\nno",
	}
	for name, text := range rows {
		for _, piece := range []int{len(text), 1} {
			got, kept, err := getAnswer(t, text, piece)
			if err == nil || errors.Is(err, ErrNotSent) {
				t.Errorf("%s, pieces of %d: got %q, %v, want an error of a request that was sent", name, piece, got, err)
			}
			if kept {
				t.Errorf("%s, pieces of %d: the connection is kept", name, piece)
			}
		}
	}
}

// TestValidHeadsAreAccepted guards against rejecting heads for what HTTP allows.
func TestValidHeadsAreAccepted(t *testing.T) {
	const begin, end = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n", "\r\nok"
	for name, text := range map[string]string{
		"plain":                         begin + end,
		"blanks around a value":         begin + "X: \t y \t\r\n" + end,
		"blanks and tabs in values":     begin + "X: y  z\tz\r\n" + end,
		"bare LF":                       strings.ReplaceAll(begin+end, "\r", ""),
		"every kind of name":            begin + "!#$%&'*+-.^_`|~09azAZ: y\r\n" + end,
		"long head":                     begin + "X: " + strings.Repeat("x", maxHeadBytes/2) + "\r\n" + end,
		"many fields":                   begin + strings.Repeat("X: y\r\n", 2000) + end,
		"interim heads":                 strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", 200) + begin + end,
		"body that begins with a blank": begin + "\r\n k",
	} {
		for _, piece := range []int{len(text), 7} {
			got, kept, err := getAnswer(t, text, piece)
			if err != nil || len(got) != 2 || !kept {
				t.Errorf("%s, pieces of %d: got %q, %v, kept %t", name, piece, got, err, kept)
			}
		}
	}
}
