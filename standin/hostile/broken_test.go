package hostile

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// brokenAnswer is what a target sends on its connection instead of an answer, without reading the request's body.
type brokenAnswer struct {
	// text is what is sent, with ID in place of the request's id.
	text string
	// reset tells that the connection is reset behind the text.
	reset bool
}

// sealed is the head of a success without the empty line that ends it.
const sealed = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: sealed\r\n"

// brokenAnswers are the answers to requests whose path ends with the name.
var brokenAnswers = map[string]brokenAnswer{
	"reset":      {text: sealed + "\r\n" + strings.Repeat("x", 1000), reset: true},
	"reset-long": {text: sealed + "\r\n" + strings.Repeat("x", 200_000), reset: true},

	"cut": {text: sealed + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + strings.Repeat("x", 200_000)},

	"status-000":   {text: strings.Replace(sealed, "200 OK", "000 x", 1) + "Content-Length: 2\r\n\r\nno"},
	"status-600":   {text: strings.Replace(sealed, "200 OK", "600 x", 1) + "Content-Length: 2\r\n\r\nno"},
	"unsealed-000": {text: "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nno"},

	"blank-in-name":        {text: sealed + "Content-Length: 2\r\nX Y: z\r\n\r\nno"},
	"blank-behind-length":  {text: sealed + "Content-Length : 2\r\n\r\nno more"},
	"blank-behind-coding":  {text: sealed + "Transfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"},
	"blank-before-name":    {text: sealed + " Content-Length: 2\r\n\r\nno more"},
	"tab-before-name":      {text: sealed + "\tContent-Length: 2\r\n\r\nno more"},
	"blank-before-first":   {text: strings.Replace(sealed, "X-", " X-Y: z\r\nX-", 1) + "Content-Length: 2\r\n\r\nno"},
	"tab-in-name":          {text: sealed + "Content-Length: 2\r\nX\tY: z\r\n\r\nno"},
	"control-byte-in-name": {text: sealed + "Content-Length: 2\r\nX\x01Y: z\r\n\r\nno"},
	"cr-in-name":           {text: sealed + "Content-Length: 2\r\nX\rY: z\r\n\r\nno"},
	"nul-in-name":          {text: sealed + "Content-Length: 2\r\nX\x00Y: z\r\n\r\nno"},
}

func (b brokenAnswer) send(w http.ResponseWriter, r *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, strings.ReplaceAll(b.text, "ID", r.Header.Get("X-Attempt-Id")))
	if b.reset {
		awaitFull(c.(*net.TCPConn))
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// awaitFull waits until a connection that is not read receives nothing more, because its sender waits for room.
func awaitFull(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		panic(err)
	}
	for before, now := -1, 0; now == 0 || now != before; time.Sleep(fullPoll) {
		before = now
		if e := raw.Control(func(fd uintptr) { now, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); e != nil || err != nil {
			panic(errors.Join(e, err))
		}
	}
}

const (
	// uploadBytes is the length of a body that the buffers of a connection do not hold.
	uploadBytes = 16 << 20
	// brokenRuns is how often a request is sent whose answer depends on the order in which a node notices events.
	brokenRuns = 20
	// fullPoll is the interval at which the bytes that a connection has received are counted.
	fullPoll = 5 * time.Millisecond
)

// exchangeBytes sends a request with a body of that length on a connection of its own and returns all that the
// connection gets until it is closed. It fails if the connection is reset.
func exchangeBytes(t *testing.T, d *deployment, head string, bodyBytes int) ([]byte, error) {
	t.Helper()
	c, r := dial(t, d)
	defer c.Close()
	go func() {
		_, _ = io.WriteString(c, head+"Connection: close\r\nX-Timeout-Ms: 1500\r\nContent-Length: "+strconv.Itoa(bodyBytes)+"\r\n\r\n")
		_, _ = c.Write(make([]byte, bodyBytes))
	}()
	return io.ReadAll(r)
}

// expectBroken fails the test unless the connection of a request gets a failure of the node's own or an answer that is
// visibly cut.
func expectBroken(t *testing.T, d *deployment, head string, bodyBytes int) {
	t.Helper()
	text, err := exchangeBytes(t, d, head, bodyBytes)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("no end of the answer to %.30q: %v", head, err)
	}
	if err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	if err != nil {
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if err == nil && (response.StatusCode/100 != 5 || response.Header.Get("X-Response-Seal") != "") {
		t.Errorf("the answer to %.30q looks whole: %.300q", head, text)
	}
}

// TestAnswerThatIsResetDuringAnUploadDoesNotLookWhole guards against delivering the part of an answer without a length that a
// target has sent before it resets the connection as if it were all of it.
func TestAnswerThatIsResetDuringAnUploadDoesNotLookWhole(t *testing.T) {
	d := newDeployment(t, smallest)
	for _, path := range []string{"/book/", "/read/", "/up/"} {
		for _, name := range []string{"reset", "reset-long"} {
			for range brokenRuns {
				expectBroken(t, d, d.head("POST", path+name), uploadBytes)
			}
		}
	}
	d.awaitOrdinary("after the broken answers")
}

// TestAnswerWithABrokenHeadDoesNotLookWhole guards against delivering an answer whose status HTTP does not define or in
// whose head the name of a field has a blank or a control byte: the body may not be the one that the target meant.
func TestAnswerWithABrokenHeadDoesNotLookWhole(t *testing.T) {
	d := newDeployment(t, smallest)
	for _, path := range []string{"/book/", "/look/", "/read/", "/up/"} {
		for name, answer := range brokenAnswers {
			if !answer.reset {
				expectBroken(t, d, d.head("GET", path+name), 0)
			}
		}
	}
	d.awaitOrdinary("after the broken answers")
}

// TestCutAnswerToAnHTTP10ClientDoesNotLookWhole guards against closing the connection of a client without chunks behind
// a part of an answer, which takes that for its end.
func TestCutAnswerToAnHTTP10ClientDoesNotLookWhole(t *testing.T) {
	d := newDeployment(t, smallest)
	for _, path := range []string{"/book/", "/look/", "/read/", "/up/"} {
		expectBroken(t, d, strings.Replace(d.head("GET", path+"cut"), "HTTP/1.1", "HTTP/1.0", 1), 0)
	}
}
