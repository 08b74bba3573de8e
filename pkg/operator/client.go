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
	readAttemptTime  = 5 * time.Second // for one address, before the next is tried
	changeTime       = defaultPublishTime + 5*time.Second
	maxResponseBytes = 64 << 20
)

// Client calls the operators' interface. Reads are tried at each address in turn. A change is sent to the next address
// only if the connection to the one before it was never established.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// NewClient returns a client for addresses of the form "ip:port" or "https://ip:port". The token may be empty.
func NewClient(addresses []string, token string, transport http.RoundTripper) *Client {
	bases := make([]string, 0, len(addresses))
	for _, address := range addresses {
		base := strings.TrimRight(strings.TrimSpace(address), "/")
		if base == "" {
			continue
		}
		if !strings.Contains(base, "://") {
			base = "http://" + base
		}
		bases = append(bases, base)
	}
	return &Client{addresses: bases, token: token, http: &http.Client{Transport: transport}}
}

// Publish sends a record and returns its outcome, also when it is a conflict or invalid. An error of kind unknown means
// that the record may have taken effect; it is safe to send the same record again.
func (c *Client) Publish(ctx context.Context, record *config.Record) (config.Result, error) {
	var result config.Result
	status, body, err := c.change(ctx, "/v1/records", record)
	if err != nil {
		return result, err
	}
	if json.Unmarshal(body, &result) == nil && result.Outcome != "" {
		return result, nil
	}
	if status == http.StatusOK {
		return result, apierror.New(apierror.Unknown, "the answer to the publish is not valid", "repeat with the same record id")
	}
	return result, decodeError(status, body)
}

// Validate applies records on the node without publishing them.
func (c *Client) Validate(ctx context.Context, records []config.Record) (ValidateResponse, error) {
	var answer ValidateResponse
	return answer, c.post(ctx, "/v1/validate", ValidateRequest{Records: records}, &answer)
}

// Entities lists all entities, retired ones included.
func (c *Client) Entities(ctx context.Context) (EntityList, error) {
	var answer EntityList
	return answer, c.get(ctx, "/v1/entities", &answer)
}

// Entity returns the kept revisions of an entity. It fails with kind not_found if the entity never existed.
func (c *Client) Entity(ctx context.Context, entity config.Entity) (EntityResponse, error) {
	var answer EntityResponse
	return answer, c.get(ctx, "/v1/entities/"+url.PathEscape(string(entity.Kind))+"/"+entity.Name, &answer)
}

// Snapshot returns the configuration that the node runs.
func (c *Client) Snapshot(ctx context.Context) (*config.Snapshot, error) {
	var answer config.Snapshot
	if err := c.get(ctx, "/v1/snapshot", &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// Status returns the status of a node and how many members have reached the version; 0 means the node's own version.
func (c *Client) Status(ctx context.Context, version int64) (Status, error) {
	path := "/v1/status"
	if version > 0 {
		path += "?version=" + strconv.FormatInt(version, 10)
	}
	var answer Status
	return answer, c.get(ctx, path, &answer)
}

// Members lists the nodes.
func (c *Client) Members(ctx context.Context) (MemberList, error) {
	var answer MemberList
	return answer, c.get(ctx, "/v1/members", &answer)
}

// Remove ends an incarnation of a member whose VM is gone.
func (c *Client) Remove(ctx context.Context, id string, incarnation uint64) (RemoveResponse, error) {
	var answer RemoveResponse
	return answer, c.post(ctx, "/v1/members/"+url.PathEscape(id)+"/remove", RemoveRequest{Incarnation: incarnation}, &answer)
}

// Explain returns the decisions of the first reachable node about a subject.
func (c *Client) Explain(ctx context.Context, subject string) (EventList, error) {
	var answer EventList
	return answer, c.get(ctx, "/v1/explain?subject="+url.QueryEscape(subject), &answer)
}

// PerAddress returns a client for each address alone.
func (c *Client) PerAddress() []*Client {
	clients := make([]*Client, len(c.addresses))
	for i, address := range c.addresses {
		clients[i] = &Client{addresses: []string{address}, token: c.token, http: c.http}
	}
	return clients
}

// Address returns the first address.
func (c *Client) Address() string {
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[0]
}

// Drain starts a drain of the first address, or returns its progress.
func (c *Client) Drain(ctx context.Context) (DrainStatus, error) {
	var answer DrainStatus
	if len(c.addresses) == 0 {
		return answer, ErrNoAddress
	}
	return answer, c.PerAddress()[0].post(ctx, "/v1/drain", struct{}{}, &answer)
}

// Announce announces the local backend server.
func (c *Client) Announce(ctx context.Context, a Announcement) (AnnouncementResponse, error) {
	var answer AnnouncementResponse
	return answer, c.post(ctx, "/v1/backend", a, &answer)
}

// get tries each address until one answers with anything but unavailable.
func (c *Client) get(ctx context.Context, path string, into any) error {
	err := error(ErrNoAddress)
	for _, base := range c.addresses {
		err = c.getFrom(ctx, base, path, into)
		if err == nil || !worthAnotherAddress(err) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func worthAnotherAddress(err error) bool {
	kind := apierror.KindOf(err)
	return kind == apierror.Unavailable || kind == apierror.Overloaded || kind == apierror.Unknown || kind == apierror.Internal
}

func (c *Client) getFrom(ctx context.Context, base, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, readAttemptTime)
	defer cancel()
	status, body, err := c.send(ctx, http.MethodGet, base, path, nil)
	if err != nil {
		return apierror.New(apierror.Unavailable, base+" does not answer: "+err.Error(), "check --api and that the node runs")
	}
	return decodeAnswer(status, body, into)
}

func (c *Client) post(ctx context.Context, path string, request, into any) error {
	status, body, err := c.change(ctx, path, request)
	if err != nil {
		return err
	}
	return decodeAnswer(status, body, into)
}

// change sends a POST. A refused connection leads to the next address; any other failure is of kind unknown, because
// the node may have received the request.
func (c *Client) change(ctx context.Context, path string, request any) (int, []byte, error) {
	encoded, err := json.Marshal(request)
	if err != nil {
		return 0, nil, apierror.New(apierror.Invalid, "the request cannot be encoded: "+err.Error(), "correct the JSON file")
	}
	failure := ErrNoAddress
	for _, base := range c.addresses {
		status, body, err := c.sendChange(ctx, base, path, encoded)
		if err == nil {
			return status, body, nil
		}
		if !neverConnected(err) {
			return 0, nil, apierror.New(apierror.Unknown, "the answer of "+base+" was lost: "+err.Error(), "find out with a read, or repeat")
		}
		failure = apierror.New(apierror.Unavailable, base+" cannot be reached: "+err.Error(), "check --api and that the node runs")
	}
	return 0, nil, failure
}

func (c *Client) sendChange(ctx context.Context, base, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTime)
	defer cancel()
	return c.send(ctx, http.MethodPost, base, path, body)
}

// neverConnected reports whether the request cannot have reached a node.
func neverConnected(err error) bool {
	var operation *net.OpError
	var certificate *tls.CertificateVerificationError
	if errors.As(err, &certificate) {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &operation) && operation.Op == "dial"
}

func (c *Client) send(ctx context.Context, method, base, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
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
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if len(answer) > maxResponseBytes {
		return 0, nil, fmt.Errorf("the answer exceeds %d bytes", maxResponseBytes)
	}
	return response.StatusCode, answer, nil
}

func decodeAnswer(status int, body []byte, into any) error {
	if status != http.StatusOK {
		return decodeError(status, body)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return apierror.New(apierror.Internal, "the answer is not valid: "+err.Error(), "check that --api names a node and that its version fits this program")
	}
	return nil
}

func decodeError(status int, body []byte) error {
	var answer ErrorBody
	if json.Unmarshal(body, &answer) == nil && len(answer.Errors) > 0 {
		return answer.Errors
	}
	return apierror.New(apierror.Internal, fmt.Sprintf("status %d: %.200s", status, body), "check that --api names a node")
}

// ErrNoAddress is returned by a client without addresses.
var ErrNoAddress = apierror.New(apierror.Invalid, "no address of a node is given", "pass --api ip:port[,ip:port], or set LABURNUM_API")
