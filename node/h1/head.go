package h1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// awaitHead waits until the connection's reader has buffered the head of the next answer. It fails with ErrInvalidHead
// if a line of it begins with a blank: http.ReadResponse joins such a line to the field before it, as the obsolete
// folding of values (RFC 9112, section 5.2), so that a broken field changes a sound one.
func (c *conn) awaitHead() error {
	for line := 0; ; {
		head, _ := c.reader.Peek(c.reader.Buffered())
		for {
			length := bytes.IndexByte(head[line:], '\n') + 1
			if length == 0 {
				break
			}
			switch next := head[line : line+length]; {
			case next[0] == ' ' || next[0] == '\t':
				return errors.Wrapf(ErrInvalidHead, "line %q", next)
			case next[0] == '\n' || string(next) == "\r\n":
				return nil
			}
			line += length
		}
		if len(head) == c.reader.Size() {
			c.enlargeReader()
		}
		if _, err := c.reader.Peek(len(head) + 1); errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
	}
}

// enlargeReader replaces the connection's reader by one that holds the longest head: what is buffered, and what headLimit
// lets through beyond it.
func (c *conn) enlargeReader() {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	source := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.limit)
	c.reader = bufio.NewReaderSize(source, len(buffered)+maxHeadBytes)
}

// restoreReader undoes enlargeReader, so that an idle connection holds little memory. Nothing may be buffered.
func (c *conn) restoreReader() {
	if c.reader.Size() != readBufferBytes {
		c.reader = bufio.NewReaderSize(c.limit, readBufferBytes)
	}
}

// CheckFieldNames fails with ErrInvalidHead if the name of a field has a character that HTTP does not allow there.
// http.ReadResponse accepts blanks.
func CheckFieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalidHead, "field name %q", name)
		}
	}
	return nil
}
