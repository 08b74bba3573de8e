package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/bundle"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

// fakeNode implements the interfaces of the operator API and applies published records. With each call of Members, which a status
// request makes, one more member reaches the current version.
type fakeNode struct {
	mu               sync.Mutex
	state            *config.State
	members          []operator.Member
	loseNextResponse bool // the next publish takes effect and its response is lost
	blockPropagation bool // members do not reach new versions
	inFlight         int
	removed          []string
}

func (f *fakeNode) Self() operator.Member { return operator.Member{ID: "n1"} }
func (f *fakeNode) Ready() (bool, string) { return true, "" }
func (f *fakeNode) State() *config.State  { f.mu.Lock(); defer f.mu.Unlock(); return f.state }

func (f *fakeNode) Members() []operator.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.members {
		if m := &f.members[i]; m.Status == "alive" && m.Version < f.state.Version && !f.blockPropagation {
			m.Version = f.state.Version
			break
		}
	}
	return append([]operator.Member(nil), f.members...)
}

func (f *fakeNode) Events(subject string) []explain.Event {
	return []explain.Event{{Kind: explain.Ejected, Subject: subject, Cause: "five errors", Count: 2}}
}

func (f *fakeNode) Publish(_ context.Context, r *config.Record) (config.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, _ := json.Marshal(r)
	next, result := config.Apply(f.state, f.state.Offset+1, data)
	f.state = next
	if f.loseNextResponse {
		f.loseNextResponse = false
		return config.Result{}, apierror.New(apierror.Unknown, "the log service did not respond", "retry with the same record id")
	}
	return result, nil
}

func (f *fakeNode) Remove(_ context.Context, id string, _ uint64) error {
	f.removed = append(f.removed, id)
	return nil
}

func (f *fakeNode) Drain() operator.DrainStatus {
	if f.inFlight == 0 {
		return operator.DrainStatus{Node: "n1", State: operator.DrainDone}
	}
	f.inFlight--
	return operator.DrainStatus{Node: "n1", State: operator.DrainRunning, InFlight: f.inFlight + 1}
}

const testSecret = "0123456789abcdef"

type testEnv struct {
	t         *testing.T
	node      *fakeNode
	api       string
	tokenFile string
	dir       string
}

func newTestEnv(t *testing.T) *testEnv {
	b := &testEnv{t: t, dir: t.TempDir(), node: &fakeNode{state: config.NewState(), members: []operator.Member{
		{ID: "n1", Status: "alive", Incarnation: 1}, {ID: "n2", Status: "alive", Incarnation: 2}, {ID: "n3", Status: "dead", Incarnation: 3},
		{ID: "n4", Status: "alive", Incarnation: 4, Endpoint: &operator.Endpoint{Service: "tracker", Slots: 10, State: "ready"}},
	}}}
	handler := operator.New(operator.Options{Node: b.node, Publisher: b.node, Remover: b.node, Drainer: b.node, Tokens: []operator.Token{
		{Name: "nura", Secret: testSecret, Roles: []operator.Role{operator.RolePublishTemplates, operator.RoleAdmin, operator.RolePublishParameters}, Teams: []string{"customers", "drivers"}},
	}})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	b.api = server.Listener.Addr().String()
	b.tokenFile = b.file("token file", testSecret+"\n")
	return b
}

func (b *testEnv) file(name, content string) string {
	path := filepath.Join(b.dir, name)
	require.NoError(b.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// run runs laburnumctl against the test node and requires the exit code.
func (b *testEnv) run(code int, arguments ...string) (stdout, stderr string) {
	b.t.Helper()
	if !strings.Contains(strings.Join(arguments, " "), "--api") {
		arguments = append(arguments, "--api", b.api, "--token-file", b.tokenFile)
	}
	var out, errs bytes.Buffer
	got := Run(arguments, &out, &errs)
	require.Equal(b.t, code, got, "%v\n%s%s", arguments, out.String(), errs.String())
	return out.String(), errs.String()
}

func (b *testEnv) publishExample() {
	b.t.Helper()
	files, err := bundle.Read(os.DirFS("../../examples/falaj"))
	require.NoError(b.t, err)
	for _, file := range sortByDependency(files) {
		b.run(ExitOK, append([]string{"publish", "--file", "../../examples/falaj/" + file.Path}, strings.Fields(entityFlagString(file.Entity))...)...)
	}
}

const customerCalls = "../../examples/falaj/templates/customer-calls.json"

// Checks that each verb reports success and has its documented effect.
func TestVerbs_EntityLifecycle(t *testing.T) {
	b := newTestEnv(t)
	b.publishExample()
	out, _ := b.run(ExitOK, "list", "--kind", "parameters", "--team", "drivers")
	require.Regexp(t, `parameters +drivers/driver-calls +\d+ +publish +nura`, out)
	require.NotContains(t, out, "customers")

	values := b.file("values.json", `{"values":{"order_timeout_ms":1700}}`)
	entity := []string{"--team", "customers", "--template", "customer-calls"}
	with := func(verb string, more ...string) []string { return append(append([]string{verb}, entity...), more...) }
	first := b.node.state.Revision(config.ParametersEntity("customers", "customer-calls"))
	out, _ = b.run(ExitOK, with("diff", "--file", values)...)
	require.Equal(t, "~ values.order_timeout_ms: 1500 -> 1700\n", out)
	out, _ = b.run(ExitOK, with("validate", "--file", values)...)
	require.Contains(t, out, "~ routes.orders.timeout_ms: 1500 -> 1700")
	_, progress := b.run(ExitOK, with("amend", "--file", values, "--wait")...)
	require.Regexp(t, `version 12: \d of 3 live nodes`, progress)
	require.Contains(t, progress, "version 12: 3 of 3 live nodes")
	out, _ = b.run(ExitOK, with("diff")...)
	require.Equal(t, "~ values.order_timeout_ms: 1500 -> 1700\n", out)
	out, _ = b.run(ExitOK, "diff", "--dir", "../../examples/falaj")
	require.Equal(t, "~ routes.orders.timeout_ms: 1700 -> 1500\n", out)
	out, _ = b.run(ExitOK, with("get")...)
	require.JSONEq(t, `{"values":{"order_timeout_ms":1700}}`, out)
	b.run(ExitOK, with("rollback", "--to", strconv.FormatInt(first, 10))...)
	out, _ = b.run(ExitOK, with("get")...)
	require.JSONEq(t, `{"values":{"order_timeout_ms":1500}}`, out)
	out, _ = b.run(ExitOK, with("history")...)
	require.Regexp(t, `(?s)publish.*amend.*rollback`, out)
	b.run(ExitOK, with("retire")...)
	out, _ = b.run(ExitOK, "list")
	require.NotContains(t, out, "customers/customer-calls")
	out, _ = b.run(ExitOK, "render")
	require.NotContains(t, out, "payments")
}

// Checks that each error has its documented exit code and a remedy.
func TestRun_ExitCodesAndRemedies(t *testing.T) {
	b := newTestEnv(t)
	b.publishExample()
	broken := b.file("broken.json", `{"body":{"lanes":[]}}`)
	wrongToken := b.file("wrong", "a-wrong-token-of-some-length")
	b.node.blockPropagation = true
	cases := map[string]struct {
		code      int
		arguments []string
		wanted    string
	}{
		"retire of a template in use": {ExitInvalid, []string{"retire", "--template", "history-calls"}, "parameters customers/history-calls, parameters drivers/history-calls"},
		"retire of services in use":   {ExitInvalid, []string{"retire", "--team", "customers", "--template", "fleet"}, "route arrivals of parameters customers/customer-calls"},
		"invalid template":            {ExitInvalid, []string{"amend", "--template", "ranks", "--file", broken}, "body.lanes"},
		"invalid online validation":   {ExitInvalid, []string{"validate", "--template", "ranks", "--file", broken}, "body.lanes"},
		"stale base":                  {ExitConflict, []string{"amend", "--template", "ranks", "--file", broken, "--base", "99"}, "by nura"},
		"unknown entity":              {ExitNotFound, []string{"get", "--template", "none"}, "laburnumctl list"},
		"unknown revision":            {ExitNotFound, []string{"get", "--template", "ranks", "--revision", "77"}, "laburnumctl history --template ranks"},
		"other team":                  {ExitDenied, []string{"publish", "--team", "strangers", "--template", "ranks", "--file", customerCalls}, "publish-parameters"},
		"wrong token":                 {ExitDenied, []string{"status", "--api", b.api, "--token-file", wrongToken}, "token"},
		"no node":                     {ExitUnavailable, []string{"status", "--api", "127.0.0.1:1"}, "--api"},
		"no address":                  {ExitUsage, []string{"status", "--api", ","}, "--api"},
		"wait timeout":                {ExitTimeout, []string{"status", "--wait", "--timeout", "30ms"}, "behind: n2 n4"},
		"no file":                     {ExitUsage, []string{"publish", "--template", "x"}, "--file"},
		"missing file":                {ExitUsage, []string{"publish", "--template", "x", "--file", b.dir + "/none"}, "--file"},
		"bad name":                    {ExitUsage, []string{"get", "--template", "X"}, "--template"},
		"retry without base":          {ExitUsage, []string{"retire", "--template", "x", "--record-id", "r"}, "--base"},
		"rollback without revision":   {ExitUsage, []string{"rollback", "--template", "x"}, "laburnumctl history"},
		"unknown output":              {ExitUsage, []string{"list", "--output", "xml"}, "text or json"},
		"bad number":                  {ExitUsage, []string{"get", "--template", "x", "--revision", "x"}, "--help"},
		"unconfirmed removal":         {ExitUsage, []string{"members", "remove", "--id", "n3"}, "--vm-is-gone"},
		"removal of a live member":    {ExitConflict, []string{"members", "remove", "--id", "n2", "--vm-is-gone"}, "drain"},
		"empty directory":             {ExitUsage, []string{"validate", "--dir", b.dir}, "templates/"},
		"drain of two nodes":          {ExitUsage, []string{"drain", "--api", b.api + "," + b.api}, "exactly one"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b.t = t
			_, stderr := b.run(c.code, c.arguments...)
			require.Contains(t, stderr, c.wanted)
		})
	}
	require.Equal(t, ExitUsage, Run([]string{"frobnicate"}, io.Discard, io.Discard))
	require.Equal(t, ExitUsage, Run([]string{"list", "--nothing"}, io.Discard, io.Discard))
	require.Empty(t, b.node.removed)
}

// Guards against a suggested retry command that applies the change twice or uses another record id.
func TestPublish_UnknownOutcomePrintsRetryCommand(t *testing.T) {
	b := newTestEnv(t)
	template := b.file("it's a template.json", `{"body":{}}`)
	b.node.loseNextResponse = true
	_, stderr := b.run(ExitUnknown, "publish", "--template", "empty", "--file", template)
	match := regexp.MustCompile(`it is safe to retry with: laburnumctl (.*)`).FindStringSubmatch(stderr)
	require.NotNil(t, match, stderr)
	command := exec.Command("sh", "-c", `printf '%s\n' `+match[1]) // split the words like an operator's shell
	words, err := command.Output()
	require.NoError(t, err)
	arguments := strings.Split(strings.TrimSpace(string(words)), "\n")
	require.Contains(t, arguments, template)
	out, _ := b.run(ExitOK, arguments...)
	require.Contains(t, out, "accepted, revision 1")
	require.Len(t, b.node.state.Entities["template empty"].Revisions, 1)
}

// Checks that the output of --output json is valid JSON.
func TestRun_JSONOutputIsValid(t *testing.T) {
	b := newTestEnv(t)
	b.publishExample()
	for _, arguments := range [][]string{
		{"list"}, {"get", "--template", "ranks"}, {"history", "--template", "ranks"}, {"diff", "--template", "ranks"}, {"status", "--wait"},
		{"members"}, {"explain", "n1"}, {"render"}, {"validate", "--dir", "../../examples/falaj"}, {"validate", "--dir", "../../examples/falaj", "--online"},
		{"validate", "--dir", "../../examples/van-der-merwe"}, {"render", "--dir", "../../examples/van-der-merwe"}, {"drain"},
		{"render", "--team", "drivers", "--template-file", "../../examples/falaj/templates/history-calls.json"}, {"retire", "--team", "drivers", "--template", "driver-calls"},
	} {
		out, _ := b.run(ExitOK, append(arguments, "--output", "json")...)
		require.True(t, json.Valid([]byte(out)), "%v: %s", arguments, out)
	}
	out, _ := b.run(ExitNotFound, "get", "--template", "none", "--output", "json")
	var response operator.ErrorBody
	require.NoError(t, json.Unmarshal([]byte(out), &response))
	require.Equal(t, apierror.NotFound, response.Errors[0].Kind)
	out, _ = b.run(ExitInvalid, "retire", "--template", "history-calls", "--output", "json")
	var result config.Result
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.Equal(t, config.Rejected, result.Outcome)
}

// Guards against removal of the wrong incarnation, a drain that returns early, and help texts without examples.
func TestMembersDrainExplainAndHelp(t *testing.T) {
	b := newTestEnv(t)
	out, _ := b.run(ExitOK, "members")
	require.Regexp(t, `n4 .*alive .*tracker +ready +10`, out)
	out, _ = b.run(ExitOK, "members", "remove", "--id", "n3", "--vm-is-gone")
	require.Equal(t, "removed n3, incarnation 3\n", out)
	b.node.inFlight = 2
	out, progress := b.run(ExitOK, "drain", "--wait")
	require.Contains(t, progress, "n1: 2 calls in flight")
	require.Equal(t, "n1: drained, 0 calls in flight\n", out)
	out, _ = b.run(ExitOK, "explain", "n4")
	require.Contains(t, out, "five errors (2 times)")
	_, stderr := b.run(ExitOK, "explain", "--api", "127.0.0.1:1,"+b.api, "--token-file", b.tokenFile)
	require.Contains(t, stderr, "127.0.0.1:1")
	for _, v := range verbs() {
		require.NotEmpty(t, v.examples, v.name)
		require.Equal(t, ExitOK, Run([]string{v.name, "--help"}, io.Discard, io.Discard))
	}
}
