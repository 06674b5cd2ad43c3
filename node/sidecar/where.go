package sidecar

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/node/ingress"
	"github.com/auburnrelay/auburnrelay/platform"
)

// WherePath is the path on the admin address that answers where the node would send a request. The query has the
// parameters host, path and, for a request with a key, key. The answer is an ingress.Whereabouts, or a WhereError with a
// status other than 200.
const WherePath = "/where"

// WhereError is the answer to a question that has none.
type WhereError struct {
	Error string `json:"error"`
}

func whereHandler(config ingress.Configuration, d *ingress.Dispatcher) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query, err := parseWhere(r.URL.Query())
		if err != nil {
			writeJSON(w, http.StatusBadRequest, WhereError{err.Error()})
			return
		}
		current := config.Current()
		if current == nil {
			writeJSON(w, http.StatusServiceUnavailable, WhereError{"the node knows no configuration yet"})
			return
		}
		where, err := d.Where(current, config.IsLatest(), query)
		if err != nil {
			writeJSON(w, http.StatusNotFound, WhereError{err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, where)
	})
}

func parseWhere(values url.Values) (ingress.Query, error) {
	q := ingress.Query{Host: values.Get("host")}
	if q.Host == "" {
		return q, errors.New("no host")
	}
	uri, err := url.ParseRequestURI(values.Get("path"))
	if err != nil || uri.IsAbs() {
		return q, errors.Newf("malformed path %q: it has to begin with a slash", values.Get("path"))
	}
	q.Path = uri.Path
	if values.Has("key") {
		q.Key, err = platform.ParseKey(values.Get("key"))
		q.HasKey = true
	}
	return q, err
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails only if the asker has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
