package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"), goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}

func clientOf(t *testing.T, token string, addresses ...string) *Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return NewClient(addresses, token, transport)
}

// Guards against an outcome that differs from the publisher's, or that lacks the publisher's errors.
func TestPublish_ReportsOutcome(t *testing.T) {
	node := newFakeNode()
	client := clientOf(t, "", serve(t, node.options()))
	ctx := context.Background()
	entity := config.TemplateEntity("ranks")

	result, err := client.Publish(ctx, publishOf("a", entity, ranksPayload))
	require.NoError(t, err)
	require.Equal(t, config.Result{Offset: 1, RecordID: "a", Outcome: config.Accepted}, result)

	result, err = client.Publish(ctx, publishOf("a", entity, ranksPayload))
	require.NoError(t, err)
	require.Equal(t, config.Duplicate, result.Outcome)

	result, err = client.Publish(ctx, publishOf("b", entity, ranksPayload))
	require.NoError(t, err)
	require.Equal(t, config.Conflict, result.Outcome)
	require.Contains(t, result.Errors.Error(), "someone")
	result, err = client.Publish(ctx, publishOf("c", config.TemplateEntity("bad"), `{"body":{"lanes":1,"ranks":[7]}}`))
	require.NoError(t, err)
	require.Equal(t, config.Rejected, result.Outcome)
	require.Len(t, result.Errors, 2)
	_, err = client.Publish(ctx, publishOf("d", config.TemplateEntity("Bad"), ``))
	requireKind(t, apierror.Invalid, err)

	require.Equal(t, 4, node.published, "a malformed record must not reach the publisher")
}

// Guards against a lost or slow append being reported with another kind than unknown.
func TestPublish_PreservesErrorKind(t *testing.T) {
	cases := map[string]struct {
		hook   func(ctx context.Context) error
		wanted apierror.Kind
	}{
		"unavailable": {func(context.Context) error { return apierror.New(apierror.Unavailable, "log down", "wait") }, apierror.Unavailable},
		"unknown":     {func(context.Context) error { return apierror.New(apierror.Unknown, "lost", "repeat") }, apierror.Unknown},
		"untyped":     {func(context.Context) error { return errors.New("odd") }, apierror.Unknown},
		"time limit":  {func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, apierror.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			node := newFakeNode()
			node.publishHook = c.hook
			options := node.options()
			options.Limits.PublishTimeout = 20 * time.Millisecond
			_, err := clientOf(t, "", serve(t, options)).Publish(context.Background(), publishOf("a", config.TemplateEntity("ranks"), ranksPayload))
			requireKind(t, c.wanted, err)
		})
	}
}

// Guards against an unbounded number of concurrent publishes while the log service is slow.
func TestPublish_ConcurrencyLimit(t *testing.T) {
	node := newFakeNode()
	entered, release := make(chan struct{}), make(chan struct{})
	node.publishHook = func(context.Context) error { close(entered); <-release; return nil }
	options := node.options()
	options.Limits.ConcurrentPublishes = 1
	client := clientOf(t, "", serve(t, options))
	done := make(chan error)
	go func() {
		_, err := client.Publish(context.Background(), publishOf("a", config.TemplateEntity("ranks"), ranksPayload))
		done <- err
	}()
	<-entered
	_, err := client.Publish(context.Background(), publishOf("b", config.TemplateEntity("other"), ranksPayload))
	requireKind(t, apierror.Overloaded, err)
	close(release)
	require.NoError(t, <-done)
}

// Guards against a token that permits more or fewer requests than its roles.
func TestRoles_AllowedRequests(t *testing.T) {
	secret := func(name string) string { return name + "-0123456789abcdef" }
	tokens := []Token{
		{Name: "reader", Secret: secret("reader"), Roles: []Role{RoleRead}},
		{Name: "web", Secret: secret("web"), Roles: []Role{RolePublishParameters}, Teams: []string{"web"}},
		{Name: "architect", Secret: secret("architect"), Roles: []Role{RolePublishTemplates}},
		{Name: "admin", Secret: secret("admin"), Roles: []Role{RoleAdmin}},
		{Name: "server", Secret: secret("server"), Roles: []Role{RoleBackend}},
	}
	require.Empty(t, ValidateTokens("tokens", tokens))
	node := newFakeNode()
	options := node.options()
	options.DisableAuthentication, options.Tokens = false, append(tokens, Token{Name: "short", Secret: "tiny", Roles: []Role{RoleAdmin}})
	address := serve(t, options)
	ctx := context.Background()
	actions := map[string]func(c *Client) error{
		"read":     func(c *Client) error { _, err := c.Status(ctx, 0); return err },
		"template": func(c *Client) error { return publishAny(c, config.TemplateEntity("ranks")) },
		"own team": func(c *Client) error { return publishAny(c, config.ParametersEntity("web", "ranks")) },
		"other":    func(c *Client) error { return publishAny(c, config.ParametersEntity("field", "ranks")) },
		"drain":    func(c *Client) error { _, err := c.Drain(ctx); return err },
		"remove":   func(c *Client) error { _, err := c.Remove(ctx, "n4", 1); return err },
		"announce": func(c *Client) error {
			_, err := c.Announce(ctx, Announcement{"s", "127.0.0.1:1", 1, 1, "ready"})
			return err
		},
		"validates": func(c *Client) error { _, err := c.Validate(ctx, []config.Record{{}}); return err },
	}
	allowed := map[string][]string{
		"reader": {"read", "validates"}, "web": {"read", "validates", "own team"}, "architect": {"read", "validates", "template"},
		"admin": {"read", "validates", "drain", "remove"}, "server": {"announce"},
	}
	for _, token := range tokens {
		client := clientOf(t, token.Secret, address)
		for name, action := range actions {
			err := action(client)
			if contains(allowed[token.Name], name) {
				require.NoError(t, err, "%s %s", token.Name, name)
			} else {
				requireKind(t, apierror.Forbidden, err)
			}
		}
	}
	for _, wrong := range []string{"", "guess", "tiny", secret("reader") + "x"} {
		for _, action := range actions {
			requireKind(t, apierror.Unauthenticated, action(clientOf(t, wrong, address)))
		}
	}
	require.Equal(t, "architect", node.state.Entities["template ranks"].Current().Author, "the author is the token's name, not the one claimed in the record")
	require.Len(t, ValidateTokens("t", []Token{{}, {Name: "a", Secret: secret("a"), Roles: []Role{"king", RolePublishParameters}}, {Name: "b", Secret: secret("a"), Roles: []Role{RoleRead}}}), 6)
}

func publishAny(c *Client, entity config.Entity) error {
	_, err := c.Publish(context.Background(), publishOf("id-"+strings.ReplaceAll(entity.Name, "/", "-"), entity, ranksPayload))
	return err
}

func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

// Checks that error responses are JSON with a remedy, and that the size of request bodies is bounded.
func TestBadRequests_ReturnErrorWithRemedy(t *testing.T) {
	node := newFakeNode()
	address := serve(t, node.options())
	big := strings.Repeat("x", maxRecordBodyBytes+1)
	cases := []struct {
		method, path, body, contentType string
		status                          int
	}{
		{"GET", "/v1/nothing", "", "", 404}, {"DELETE", "/v1/records", "", "", 405}, {"GET", "/v1/entities/template/none", "", "", 404},
		{"GET", "/v1/entities/parameters/a/b", "", "", 404}, {"GET", "/v1/status?version=x", "", "", 422}, {"GET", "/v1/explain?subject=" + big[:300], "", "", 422},
		{"POST", "/v1/records", "{", jsonType, 422}, {"POST", "/v1/records", big, jsonType, 413}, {"POST", "/v1/records", "{}", "text/plain", 422},
		{"POST", "/v1/validate", "{}", jsonType, 422}, {"POST", "/v1/validate", `{"records":[{"payload":"\ud800"}], "x":1}`, jsonType, 422},
		{"POST", "/v1/backend", `{"service":"S","address":"host:1","slots":0,"connections":0,"state":"odd"}`, jsonType, 422},
		{"POST", "/v1/backend", big[:5000], jsonType, 413}, {"POST", "/v1/members/n4/remove", `{}`, jsonType, 422},
		{"POST", "/v1/members/n1/remove", `{"incarnation":1}`, jsonType, 409}, {"POST", "/v1/members/n9/remove", `{"incarnation":1}`, jsonType, 404},
	}
	for _, c := range cases {
		request, err := http.NewRequest(c.method, "http://"+address+c.path, strings.NewReader(c.body))
		require.NoError(t, err)
		request.Header.Set("Content-Type", c.contentType)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, c.status, response.StatusCode, "%s %s: %s", c.method, c.path, body)
		var errorBody ErrorBody
		require.NoError(t, json.Unmarshal(body, &errorBody))
		require.NotEmpty(t, errorBody.Errors)
		for _, e := range errorBody.Errors {
			require.NotEmpty(t, e.Remedy, "%s %s: %s", c.method, c.path, body)
		}
		if strings.Contains(c.body, `"odd"`) {
			require.Len(t, errorBody.Errors, 5, "all errors of an announcement are reported")
		}
	}
	http.DefaultClient.CloseIdleConnections()
	require.Empty(t, node.announced)
	require.Empty(t, node.removed)
}

// Guards against a panic in a handler terminating the node.
func TestServeHTTP_HandlerPanicReturnsInternalError(t *testing.T) {
	node := newFakeNode()
	address := serve(t, node.options())
	node.mu.Lock()
	node.stateHook = func() { panic("broken") }
	node.mu.Unlock()
	_, err := clientOf(t, "", address).Entities(context.Background())
	requireKind(t, apierror.Internal, err)
}

// Checks that a status counts only live members as reached, and takes the responding node's own version into account.
func TestStatus_CountsMembers(t *testing.T) {
	node := newFakeNode()
	client := clientOf(t, "", serve(t, node.options()))
	ctx := context.Background()
	require.NoError(t, publishAny(client, config.TemplateEntity("ranks")))
	node.members[2].Version = 1
	status, err := client.Status(ctx, 0)
	require.NoError(t, err)
	require.Equal(t, Fleet{Alive: 2, Suspect: 1, Dead: 1, Wanted: 1, Reached: 1}, status.Fleet)
	require.Equal(t, []string{"n2"}, status.Lagging)
	node.members[1].Version = 5
	status, err = client.Status(ctx, 2)
	require.NoError(t, err)
	require.Equal(t, Fleet{Alive: 2, Suspect: 1, Dead: 1, Wanted: 2, Reached: 1}, status.Fleet)
	require.Equal(t, []string{"n1"}, status.Lagging)
}

// Checks that a validation reports the resulting changes and leaves the state unmodified.
func TestValidate_LeavesStateUnchanged(t *testing.T) {
	node := newFakeNode()
	client := clientOf(t, "", serve(t, node.options()))
	before := node.state
	response, err := client.Validate(context.Background(), []config.Record{
		{Verb: config.Publish, Entity: config.TemplateEntity("ranks"), Payload: json.RawMessage(ranksPayload)},
		{Verb: config.Publish, Entity: config.ParametersEntity("web", "ranks"), Payload: json.RawMessage(`{}`)},
		{Verb: config.Retire, Entity: config.TemplateEntity("ranks"), Base: 1},
	})
	require.NoError(t, err)
	require.False(t, response.Valid)
	require.Equal(t, config.Rejected, response.Results[2].Outcome)
	require.Contains(t, response.Results[2].Errors.Error(), "parameters web/ranks")
	require.Len(t, response.Changes, 1)
	require.Equal(t, "ranks.urgent", response.Changes[0].Path)
	require.Same(t, before, node.state)
}

// Guards against reads that fail at the first dead node instead of failing over, and against a change that is sent to two nodes.
func TestClient_FailsOver(t *testing.T) {
	node := newFakeNode()
	live := serve(t, node.options())
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	go func() {
		for {
			connection, err := silent.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(connection, make([]byte, 10))
			_ = connection.Close()
		}
	}()
	ctx := context.Background()
	for _, dead := range []string{closed.Addr().String(), silent.Addr().String()} {
		_, err = clientOf(t, "", dead, live).Status(ctx, 0)
		require.NoError(t, err)
	}
	require.NoError(t, publishAny(clientOf(t, "", closed.Addr().String(), live), config.TemplateEntity("one")))
	requireKind(t, apierror.Unknown, publishAny(clientOf(t, "", silent.Addr().String(), live), config.TemplateEntity("two")))
	require.Equal(t, 1, node.published, "a change whose response was lost must not be sent to another node")
	requireKind(t, apierror.Invalid, publishAny(clientOf(t, ""), config.TemplateEntity("three")))
}

// Checks that metrics require a token, and health and readiness probes do not.
func TestHealthReadinessAndMetrics(t *testing.T) {
	node := newFakeNode()
	node.notReady = "no configuration"
	options := node.options()
	options.DisableAuthentication = false
	address := serve(t, options)
	for path, status := range map[string]int{"/healthz": 200, "/readyz": 503, "/metrics": 401} {
		response, err := http.Get("http://" + address + path)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, status, response.StatusCode, path)
		require.Equal(t, path == "/readyz", bytes.Contains(body, []byte("no configuration")))
	}
	http.DefaultClient.CloseIdleConnections()
}

// Guards against a client that sends its body slowly and holds a connection forever, and against the body timeout cancelling the
// publish that follows.
func TestBodyTimeout_IndependentOfPublishTimeout(t *testing.T) {
	node := newFakeNode()
	node.publishHook = func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(700 * time.Millisecond):
			return nil
		}
	}
	options := node.options()
	options.Limits.BodyTimeout = 500 * time.Millisecond
	address := serve(t, options)
	require.NoError(t, publishAny(clientOf(t, "", address), config.TemplateEntity("ranks")))

	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "POST /v1/records HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
	require.NoError(t, err)
	response, err := io.ReadAll(connection)
	require.NoError(t, err)
	require.Contains(t, string(response), "422")
	require.Contains(t, string(response), "send it within 500ms")
}
