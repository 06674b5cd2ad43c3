package h1

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// checkFieldNames fails with ErrInvalidHead if the name of a field has a character that HTTP does not allow there.
// http.ReadResponse accepts blanks.
func checkFieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalidHead, "field name %q", name)
		}
	}
	return nil
}
