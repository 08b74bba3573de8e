package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

const (
	readAttemptTimeout = 5 * time.Second // per address, before failing over to the next
	changeTimeout      = defaultPublishTimeout + 5*time.Second
	maxResponseBytes   = 64 << 20
)

// Client is a client of the operator API. Reads fail over to the next address if a node does not respond or cannot serve them. A change
// fails over only if the connection was never established, because otherwise it may have taken effect.
type Client struct {
	baseURLs []string
	token    string
	http     *http.Client
}

// NewClient returns a client for addresses of the form "ip:port" or "https://ip:port". Empty addresses are ignored. The token may be
// empty.
func NewClient(addresses []string, token string, transport http.RoundTripper) *Client {
	baseURLs := make([]string, 0, len(addresses))
	for _, address := range addresses {
		baseURL := strings.TrimRight(strings.TrimSpace(address), "/")
		if baseURL == "" {
			continue
		}
		if !strings.Contains(baseURL, "://") {
			baseURL = "http://" + baseURL
		}
		baseURLs = append(baseURLs, baseURL)
	}
	return &Client{baseURLs: baseURLs, token: token, http: &http.Client{Transport: transport}}
}

// Publish sends a record and returns its outcome; a conflict or an invalid record is an outcome, not an error. An error of kind
// unknown means that the record may have taken effect; it is safe to retry with the same record.
func (c *Client) Publish(ctx context.Context, record *config.Record) (config.Result, error) {
	var result config.Result
	status, body, err := c.postChange(ctx, "/v1/records", record)
	if err != nil {
		return result, err
	}
	if json.Unmarshal(body, &result) == nil && result.Outcome != "" {
		return result, nil
	}
	if status == http.StatusOK {
		return result, apierror.New(apierror.Unknown, "invalid response to the publish request", "retry with the same record id")
	}
	return result, decodeError(status, body)
}

// Validate checks records against the node's current state without publishing them.
func (c *Client) Validate(ctx context.Context, records []config.Record) (ValidateResponse, error) {
	var response ValidateResponse
	return response, c.post(ctx, "/v1/validate", ValidateRequest{Records: records}, &response)
}

// Entities lists all entities, including retired ones.
func (c *Client) Entities(ctx context.Context) (EntityList, error) {
	var response EntityList
	return response, c.get(ctx, "/v1/entities", &response)
}

// Entity returns the retained revisions of an entity. It fails with kind not_found if the entity never existed.
func (c *Client) Entity(ctx context.Context, entity config.Entity) (EntityResponse, error) {
	var response EntityResponse
	return response, c.get(ctx, "/v1/entities/"+url.PathEscape(string(entity.Kind))+"/"+entity.Name, &response)
}

// Snapshot returns the node's active configuration.
func (c *Client) Snapshot(ctx context.Context) (*config.Snapshot, error) {
	var response config.Snapshot
	if err := c.get(ctx, "/v1/snapshot", &response); err != nil {
		return nil, err
	}
	return &response, nil
}

// Status returns the status of a node and the number of members that have reached the version; 0 selects the node's own version.
func (c *Client) Status(ctx context.Context, version int64) (Status, error) {
	path := "/v1/status"
	if version > 0 {
		path += "?version=" + strconv.FormatInt(version, 10)
	}
	var response Status
	return response, c.get(ctx, path, &response)
}

// Members lists the nodes.
func (c *Client) Members(ctx context.Context) (MemberList, error) {
	var response MemberList
	return response, c.get(ctx, "/v1/members", &response)
}

// Remove removes an incarnation of a member whose VM no longer exists.
func (c *Client) Remove(ctx context.Context, id string, incarnation uint64) (RemoveResponse, error) {
	var response RemoveResponse
	return response, c.post(ctx, "/v1/members/"+url.PathEscape(id)+"/remove", RemoveRequest{Incarnation: incarnation}, &response)
}

// Explain returns the decisions about a subject that the first reachable node has recorded.
func (c *Client) Explain(ctx context.Context, subject string) (EventList, error) {
	var response EventList
	return response, c.get(ctx, "/v1/explain?subject="+url.QueryEscape(subject), &response)
}

// PerAddress returns one client per address, each without failover.
func (c *Client) PerAddress() []*Client {
	clients := make([]*Client, len(c.baseURLs))
	for i, address := range c.baseURLs {
		clients[i] = &Client{baseURLs: []string{address}, token: c.token, http: c.http}
	}
	return clients
}

// Address returns the first address.
func (c *Client) Address() string {
	if len(c.baseURLs) == 0 {
		return ""
	}
	return c.baseURLs[0]
}

// Drain starts a drain of the node at the first address, or returns its progress if it is already draining.
func (c *Client) Drain(ctx context.Context) (DrainStatus, error) {
	var response DrainStatus
	if len(c.baseURLs) == 0 {
		return response, ErrNoAddress
	}
	return response, c.PerAddress()[0].post(ctx, "/v1/drain", struct{}{}, &response)
}

// Announce announces the local backend server to its node.
func (c *Client) Announce(ctx context.Context, a Announcement) (AnnouncementResponse, error) {
	var response AnnouncementResponse
	return response, c.post(ctx, "/v1/backend", a, &response)
}

// get sends a GET to each address in turn until a node returns a result, or an error that another node would return as well.
func (c *Client) get(ctx context.Context, path string, into any) error {
	err := error(ErrNoAddress)
	for _, baseURL := range c.baseURLs {
		err = c.getFrom(ctx, baseURL, path, into)
		if err == nil || !shouldFailOver(err) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func shouldFailOver(err error) bool {
	kind := apierror.KindOf(err)
	return kind == apierror.Unavailable || kind == apierror.Overloaded || kind == apierror.Unknown || kind == apierror.Internal
}

func (c *Client) getFrom(ctx context.Context, baseURL, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, readAttemptTimeout)
	defer cancel()
	status, body, err := c.send(ctx, http.MethodGet, baseURL, path, nil)
	if err != nil {
		return apierror.New(apierror.Unavailable, baseURL+" does not respond: "+err.Error(), "check --api and that the node runs")
	}
	return decodeResponse(status, body, into)
}

func (c *Client) post(ctx context.Context, path string, request, into any) error {
	status, body, err := c.postChange(ctx, path, request)
	if err != nil {
		return err
	}
	return decodeResponse(status, body, into)
}

// postChange sends a POST. It fails over to the next address only if the connection could not be established; any other failure is of
// kind unknown, because the node may have received the request.
func (c *Client) postChange(ctx context.Context, path string, request any) (int, []byte, error) {
	encoded, err := json.Marshal(request)
	if err != nil {
		return 0, nil, apierror.New(apierror.Invalid, "the request cannot be encoded: "+err.Error(), "correct the JSON file")
	}
	lastErr := ErrNoAddress
	for _, baseURL := range c.baseURLs {
		status, body, err := c.postChangeTo(ctx, baseURL, path, encoded)
		if err == nil {
			return status, body, nil
		}
		if !failedToConnect(err) {
			return 0, nil, apierror.New(apierror.Unknown, "no response from "+baseURL+": "+err.Error(), "check the result with a read, or retry")
		}
		lastErr = apierror.New(apierror.Unavailable, baseURL+" cannot be reached: "+err.Error(), "check --api and that the node runs")
	}
	return 0, nil, lastErr
}

func (c *Client) postChangeTo(ctx context.Context, baseURL, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return c.send(ctx, http.MethodPost, baseURL, path, body)
}

// failedToConnect reports whether the dial or the verification of the certificate failed, so that no node can have received the request.
func failedToConnect(err error) bool {
	var operation *net.OpError
	var certificate *tls.CertificateVerificationError
	if errors.As(err, &certificate) {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &operation) && operation.Op == "dial"
}

func (c *Client) send(ctx context.Context, method, baseURL, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if len(responseBody) > maxResponseBytes {
		return 0, nil, fmt.Errorf("the response exceeds %d bytes", maxResponseBytes)
	}
	return response.StatusCode, responseBody, nil
}

func decodeResponse(status int, body []byte, into any) error {
	if status != http.StatusOK {
		return decodeError(status, body)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return apierror.New(apierror.Internal, "invalid response: "+err.Error(), "check that --api is the address of a node and that its version is compatible with this program")
	}
	return nil
}

func decodeError(status int, body []byte) error {
	var response ErrorBody
	if json.Unmarshal(body, &response) == nil && len(response.Errors) > 0 {
		return response.Errors
	}
	return apierror.New(apierror.Internal, fmt.Sprintf("status %d: %.200s", status, body), "check that --api is the address of a node")
}

// ErrNoAddress is returned by a client without addresses.
var ErrNoAddress = apierror.New(apierror.Invalid, "no node address is given", "pass --api ip:port[,ip:port], or set LABURNUM_API")
