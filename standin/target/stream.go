package target

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// chunkBytes is the size of one write of a long response.
const chunkBytes = 16 << 10

// stream writes a response body of the requested size, at the requested rate if one is set.
// The body repeats the key, so that a caller can check that it is complete and belongs to
// its request.
func (t *Target) stream(ctx context.Context, c echo.Context, q *request, number uint64) error {
	header := c.Response().Header()
	header.Set(echo.HeaderContentType, echo.MIMEOctetStream)
	header.Set(echo.HeaderContentLength, strconv.FormatInt(q.responseBytes, 10))
	header.Set("Auburnrelay-Execution", strconv.FormatUint(number, 10))
	c.Response().WriteHeader(http.StatusOK)
	began := time.Now()
	for sent := int64(0); sent < q.responseBytes; {
		if err := t.limitRate(ctx, began, sent, q.responseRate); err != nil {
			return err
		}
		n := min(chunkBytes, q.responseBytes-sent)
		if _, err := c.Response().Write(Content(q.key, sent, int(n))); err != nil {
			return err
		}
		c.Response().Flush()
		sent += n
	}
	return nil
}

// limitRate delays the next write so that the average rate of the response does not exceed
// rate bytes per second; sent is the number of bytes written so far.
func (t *Target) limitRate(ctx context.Context, began time.Time, sent, rate int64) error {
	if rate == 0 {
		return t.waitWhileFrozen(ctx)
	}
	due := time.Duration(float64(sent) / float64(rate) * float64(time.Second))
	return t.simulateWork(ctx, time.Until(began.Add(due)))
}

// Content returns n bytes, starting at offset, of the long response for key.
func Content(key string, offset int64, n int) []byte {
	content := make([]byte, n)
	pattern := key + "\n"
	for i := range content {
		content[i] = pattern[(offset+int64(i))%int64(len(pattern))]
	}
	return content
}
