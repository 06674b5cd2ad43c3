// Package httpstore is the client of the platform's object store over HTTP
// (docs/design/parts.md). It makes one attempt for each call; package client adds
// budgets and retries. It holds no locks.
package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/objects"
)

const (
	// HeaderVersion carries an object's version in answers.
	HeaderVersion = "X-Version"
	// HeaderWriteID carries the id of a write, in calls and answers.
	HeaderWriteID = "X-Write-Id"
	// HeaderExpected carries the version that a conditional write expects.
	HeaderExpected = "X-Expected-Version"

	defaultPollWait = 5 * time.Second
	dialTimeout     = 2 * time.Second
	// pollMargin is how much longer than its wait a poll may take; then its connection counts
	// as lost, since a machine that is gone does not say so.
	pollMargin   = 2 * time.Second
	maxIdleConns = 8
	// maxAnswerBytes bounds an answer: a listing of many objects in base64.
	maxAnswerBytes = 256 << 20
)

// ErrProtocol reports an answer that is not of the store's protocol.
var ErrProtocol = errors.New("unexpected answer of the object store")

// Options are the settings of a Store; zero values take the defaults.
type Options struct {
	// PollWait is how long the server may hold a poll; 5 s by default.
	PollWait time.Duration
	// Client makes the calls; by default one with a small pool of connections.
	Client *http.Client
}

// Store is a objects.Store reached over HTTP. It is safe for concurrent use.
type Store struct {
	base     string
	pollWait time.Duration
	client   *http.Client
}

var _ objects.Store = (*Store)(nil)

// New returns a client of the store at base, for example "http://127.0.0.1:7000".
func New(base string, o Options) *Store {
	if o.PollWait <= 0 {
		o.PollWait = defaultPollWait
	}
	if o.Client == nil {
		o.Client = &http.Client{Transport: newTransport()}
	}
	return &Store{base: strings.TrimRight(base, "/"), pollWait: o.PollWait, client: o.Client}
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns}
}

// Get implements objects.Store.
func (s *Store) Get(ctx context.Context, key string) (objects.Object, error) {
	answer, err := s.read(ctx, objectPath(key))
	if err != nil {
		return objects.Object{}, err
	}
	if answer.status == http.StatusNotFound {
		return objects.Object{}, errors.Wrapf(objects.ErrNotFound, "key %q", key)
	}
	if answer.status != http.StatusOK {
		return objects.Object{}, answer.failure()
	}
	version, err := answer.version()
	if err != nil {
		return objects.Object{}, err
	}
	return objects.Object{
		Key:     key,
		Value:   answer.body,
		Version: version,
		WriteID: answer.header.Get(HeaderWriteID),
	}, nil
}

// List implements objects.Store.
func (s *Store) List(ctx context.Context, prefix string) (objects.Listing, error) {
	query := url.Values{"prefix": {prefix}}
	var listing ListingMessage
	if err := s.readJSON(ctx, "/v1/objects?"+query.Encode(), &listing); err != nil {
		return objects.Listing{}, err
	}
	return listing.Listing(), nil
}

// Poll implements objects.Store.
func (s *Store) Poll(ctx context.Context, prefix string, after objects.Version) (objects.Batch, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {formatVersion(after)},
		"wait_ms": {strconv.FormatInt(s.pollWait.Milliseconds(), 10)},
	}
	ctx, cancel := context.WithTimeout(ctx, s.pollWait+pollMargin)
	defer cancel()
	var batch BatchMessage
	if err := s.readJSON(ctx, "/v1/watch?"+query.Encode(), &batch); err != nil {
		return objects.Batch{}, err
	}
	return batch.Batch(), nil
}

// Put implements objects.Store.
func (s *Store) Put(
	ctx context.Context, key string, value []byte, expected objects.Version, writeID string,
) (objects.Version, error) {
	if len(value) > objects.MaxValueBytes {
		return 0, errors.Wrapf(objects.ErrTooLarge, "key %q: %d bytes", key, len(value))
	}
	answer, err := s.write(ctx, http.MethodPut, key, value, expected, writeID)
	if err != nil {
		return 0, err
	}
	version, err := answer.version()
	if err != nil {
		return 0, errors.Mark(err, objects.ErrUnknownOutcome)
	}
	return version, nil
}

// Delete implements objects.Store.
func (s *Store) Delete(ctx context.Context, key string, expected objects.Version) error {
	_, err := s.write(ctx, http.MethodDelete, key, nil, expected, "")
	return err
}

func (s *Store) readJSON(ctx context.Context, path string, message any) error {
	answer, err := s.read(ctx, path)
	if err != nil {
		return err
	}
	if answer.status != http.StatusOK {
		return answer.failure()
	}
	if err := json.Unmarshal(answer.body, message); err != nil {
		return errors.Mark(errors.Wrap(err, "decode"), ErrProtocol)
	}
	return nil
}

func (s *Store) read(ctx context.Context, path string) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.base+path, nil)
	if err != nil {
		return answer{}, errors.Wrap(err, "build request")
	}
	got, err := s.do(request)
	if err != nil {
		return answer{}, errors.Mark(err, objects.ErrUnavailable)
	}
	return got, nil
}

func (s *Store) write(
	ctx context.Context, method, key string, value []byte, expected objects.Version, writeID string,
) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, s.base+objectPath(key), bytes.NewReader(value))
	if err != nil {
		return answer{}, errors.Wrap(err, "build request")
	}
	// A replay by the transport would make the outcome of a conditional write ambiguous.
	request.GetBody = nil
	request.Header.Set(HeaderExpected, formatVersion(expected))
	if writeID != "" {
		request.Header.Set(HeaderWriteID, writeID)
	}
	got, err := s.do(request)
	if err != nil {
		return answer{}, classifyWrite(err)
	}
	if got.status == http.StatusOK {
		return got, nil
	}
	failure := errors.Wrapf(got.failure(), "key %q", key)
	if errors.Is(failure, ErrProtocol) {
		failure = errors.Mark(failure, objects.ErrUnknownOutcome)
	}
	return answer{}, failure
}

// classifyWrite tells a write that never left this process from one that may take effect.
func classifyWrite(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, objects.ErrUnavailable)
	}
	return errors.Mark(err, objects.ErrUnknownOutcome)
}

func (s *Store) do(request *http.Request) (answer, error) {
	response, err := s.client.Do(request)
	if err != nil {
		return answer{}, errors.Wrap(err, "call the object store")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, errors.Wrap(err, "read the answer of the object store")
	}
	return answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

func objectPath(key string) string {
	return "/v1/objects/" + url.PathEscape(key)
}
