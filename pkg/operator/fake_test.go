package operator

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

// fakeNode implements all interfaces of Options and applies published records immediately. Tests change its behaviour with hooks.
type fakeNode struct {
	mu        sync.Mutex
	state     *config.State
	members   []Member
	notReady  string
	published int
	announced []Announcement
	removed   []string
	inFlight  int

	publishHook func(ctx context.Context) error // called before a publish; an error is returned as its result
	stateHook   func()
}

func newFakeNode() *fakeNode {
	return &fakeNode{state: config.NewState(), members: []Member{
		{ID: "n1", Incarnation: 1, Status: "alive"}, {ID: "n2", Incarnation: 1, Status: "alive"},
		{ID: "n3", Incarnation: 1, Status: "suspect"}, {ID: "n4", Incarnation: 1, Status: "dead"},
	}}
}

func (f *fakeNode) Self() Member { return Member{ID: "n1", Incarnation: 1, Status: "alive"} }

func (f *fakeNode) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Member(nil), f.members...)
}

func (f *fakeNode) State() *config.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stateHook != nil {
		f.stateHook()
	}
	return f.state
}

func (f *fakeNode) Ready() (bool, string) { return f.notReady == "", f.notReady }

func (f *fakeNode) Events(subject string) []explain.Event {
	return []explain.Event{{Time: time.Unix(1, 0), Kind: explain.Ejected, Subject: subject, Cause: "slow"}}
}

func (f *fakeNode) Publish(ctx context.Context, r *config.Record) (config.Result, error) {
	if f.publishHook != nil {
		if err := f.publishHook(ctx); err != nil {
			return config.Result{}, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published++
	data, err := json.Marshal(r)
	if err != nil {
		return config.Result{}, err
	}
	next, result := config.Apply(f.state, f.state.Offset+1, data)
	f.state = next
	return result, nil
}

func (f *fakeNode) Remove(_ context.Context, id string, _ uint64) error {
	if id == "n9" {
		return apierror.New(apierror.NotFound, "unknown member", "see laburnumctl members")
	}
	f.removed = append(f.removed, id)
	return nil
}

func (f *fakeNode) Drain() DrainStatus {
	if f.inFlight--; f.inFlight > 0 {
		return DrainStatus{Node: "n1", State: DrainRunning, InFlight: f.inFlight}
	}
	return DrainStatus{Node: "n1", State: DrainDone}
}

func (f *fakeNode) Announce(a Announcement) (AnnouncementResponse, error) {
	f.announced = append(f.announced, a)
	return AnnouncementResponse{RenewMS: 1000, ExpireMS: 3000}, nil
}

func (f *fakeNode) options() Options {
	return Options{Node: f, Publisher: f, Remover: f, Drainer: f, Backend: f, DisableAuthentication: true}
}

// serve starts the API on loopback and returns its address.
func serve(t *testing.T, o Options) string {
	t.Helper()
	server := httptest.NewServer(New(o))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

const ranksPayload = `{"body":{"ranks":[{"name":"urgent","target_ms":100}]}}`

func publishOf(id string, entity config.Entity, payload string) *config.Record {
	return &config.Record{ID: id, Verb: config.Publish, Entity: entity, Payload: json.RawMessage(payload), Author: "someone"}
}

func requireKind(t *testing.T, kind apierror.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, kind, apierror.KindOf(err), "%v", err)
	for _, e := range errorList(err) {
		require.NotEmpty(t, e.Remedy, "every error names a remedy: %v", e)
	}
}
