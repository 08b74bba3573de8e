package logstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

const (
	requestTimeout   = 5 * time.Second // timeout of an append, and of a read in addition to its wait
	maxResponseBytes = 64 << 20
)

// HTTPLog is a Log over HTTP:
//
//	POST /streams/{stream}/records                          body: the record; response: Entry without data
//	GET  /streams/{stream}/records?from=&limit=&wait_ms=    response: Batch
type HTTPLog struct {
	baseURLs []string
	client   *http.Client
}

// NewHTTPLog returns a client of the log service. A read falls back to the next base URL ("http://ip:port") when a request
// to the previous one fails or times out; an append uses the first one only. The caller passes the transport, so that it can
// count bytes and use TLS.
func NewHTTPLog(baseURLs []string, transport http.RoundTripper) *HTTPLog {
	trimmed := make([]string, len(baseURLs))
	for i, u := range baseURLs {
		trimmed[i] = strings.TrimRight(u, "/")
	}
	return &HTTPLog{baseURLs: trimmed, client: &http.Client{Transport: transport}}
}

// Append implements Log. The request is sent to one URL only, because a retry could append the record twice. An error of
// kind Unavailable, Overloaded or Invalid means that nothing was appended. Kind Unknown means that the record may have been
// appended.
func (l *HTTPLog) Append(ctx context.Context, stream string, data json.RawMessage) (Entry, error) {
	if len(l.baseURLs) == 0 {
		return Entry{}, errNoURL()
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.recordsURL(l.baseURLs[0], stream), bytes.NewReader(data))
	if err != nil {
		return Entry{}, eris.Wrap(err, "building append request")
	}
	request.Header.Set("Content-Type", "application/json")
	var entry Entry
	if err := l.do(request, &entry); err != nil {
		return Entry{}, appendError(err)
	}
	entry.Data = data
	return entry, nil
}

// Read implements Log. A request after a failed one does not wait for an entry.
func (l *HTTPLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error) {
	err := errNoURL()
	for _, base := range l.baseURLs {
		var batch Batch
		if batch, err = l.readFrom(ctx, base, stream, from, limit, wait); err == nil || ctx.Err() != nil {
			return batch, err
		}
		wait = 0
	}
	return Batch{}, err
}

// readFrom sends a read to one base URL.
func (l *HTTPLog) readFrom(ctx context.Context, base, stream string, from int64, limit int, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.recordsURL(base, stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Batch{}, eris.Wrap(err, "building read request")
	}
	var batch Batch
	err = l.do(request, &batch)
	return batch, err
}

// appendError classifies the error of an append: failures before the request was sent and rejections keep a kind that means
// that nothing was appended; all others, such as lost responses, become kind Unknown.
func appendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return unavailable(err.Error())
	}
	if kind := apierror.KindOf(err); kind == apierror.Overloaded || kind == apierror.Invalid {
		return err
	}
	return apierror.New(apierror.Unknown, "log service: "+err.Error(), "search the stream for the record id")
}

func (l *HTTPLog) recordsURL(base, stream string) string {
	return base + "/streams/" + url.PathEscape(stream) + "/records"
}

func (l *HTTPLog) do(request *http.Request, result any) error {
	response, err := l.client.Do(request)
	if err != nil {
		if request.Context().Err() != nil {
			l.client.CloseIdleConnections() // a network that has dropped one connection silently may have dropped others
		}
		return &transportError{typed: unavailable(err.Error()), cause: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return unavailable("response truncated: " + err.Error())
	}
	if response.StatusCode == http.StatusTooManyRequests {
		return apierror.New(apierror.Overloaded, "log service: limit of appends per second exceeded", "retry later")
	}
	if response.StatusCode >= 400 && response.StatusCode < 500 {
		return apierror.New(apierror.Invalid, fmt.Sprintf("log service: status %d: %.200s", response.StatusCode, body), "correct the request")
	}
	if response.StatusCode != http.StatusOK {
		return unavailable(fmt.Sprintf("status %d: %.200s", response.StatusCode, body))
	}
	if err := json.Unmarshal(body, result); err != nil {
		return unavailable("response is not valid JSON: " + err.Error())
	}
	return nil
}

// transportError is an error of kind Unavailable that also wraps its cause, for errors.As.
type transportError struct {
	typed *apierror.Error
	cause error
}

func (e *transportError) Error() string {
	return e.typed.Error()
}

func (e *transportError) Unwrap() []error {
	return []error{e.typed, e.cause}
}

func unavailable(cause string) *apierror.Error {
	return apierror.New(apierror.Unavailable, "log service: "+cause, "check the log service and the setting platform.urls")
}

func errNoURL() error {
	return apierror.New(apierror.Unavailable, "no log service is configured", "set platform.urls")
}
