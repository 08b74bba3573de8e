package operator

import (
	"net/http"
	"sort"
	"strconv"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

const maxSubjectBytes = 256 // of an explain request

func (s *server) entities(*http.Request) (any, error) {
	state := s.Node.State()
	list := EntityList{Version: state.Version, Entities: make([]EntitySummary, 0, len(state.Entities))}
	for _, entity := range state.Entities {
		current := entity.Current()
		list.Entities = append(list.Entities, EntitySummary{
			Entity: entity.Entity, Revision: current.Revision, Verb: current.Verb,
			Author: current.Author, RecordID: current.RecordID, Retired: entity.Retired(),
		})
	}
	sort.Slice(list.Entities, func(i, j int) bool {
		return list.Entities[i].Entity.String() < list.Entities[j].Entity.String()
	})
	return list, nil
}

func (s *server) entity(r *http.Request) (any, error) {
	wanted := config.Entity{Kind: config.EntityKind(r.PathValue("kind")), Name: r.PathValue("name")}
	state := s.Node.State()
	entity, ok := state.Entities[wanted.String()]
	if !ok {
		return nil, apierror.New(apierror.NotFound, wanted.String()+" does not exist", "see laburnumctl list")
	}
	return EntityResponse{Version: state.Version, Entity: entity.Entity, Retired: entity.Retired(), Revisions: entity.Revisions}, nil
}

func (s *server) snapshot(*http.Request) (any, error) {
	return s.Node.State().Snapshot(), nil
}

func (s *server) members(*http.Request) (any, error) {
	members := s.Node.Members()
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return MemberList{Members: members}, nil
}

// status counts the members at the version of query parameter version, by default the node's own.
func (s *server) status(r *http.Request) (any, error) {
	state := s.Node.State()
	wanted := state.Version
	if text := r.URL.Query().Get("version"); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil || parsed < 0 {
			return nil, apierror.InvalidField("version", "not a version: "+strconv.Quote(text), "use the version of a publish")
		}
		wanted = parsed
	}
	ready, reason := s.Node.Ready()
	status := Status{
		Node: s.Node.Self(), Ready: ready, Reason: reason,
		Offset: state.Offset, Version: state.Version, Digest: state.Digest(),
	}
	members := s.Node.Members()
	for i := range members {
		if members[i].ID == status.Node.ID {
			members[i].Version = state.Version
		}
	}
	status.Fleet, status.Lagging = countFleet(members, wanted)
	return status, nil
}

func (s *server) explain(r *http.Request) (any, error) {
	subject := r.URL.Query().Get("subject")
	if len(subject) > maxSubjectBytes {
		return nil, apierror.InvalidField("subject", "longer than 256 bytes", "use a request id, member id, version or route")
	}
	return EventList{Node: s.Node.Self().ID, Events: s.Node.Events(subject)}, nil
}

// metricsText needs role read, because the names of services and routes appear in it.
func (s *server) metricsText(w http.ResponseWriter, r *http.Request) {
	c, err := s.auth.authenticate(r)
	if err == nil && !c.has(RoleRead) {
		err = forbidden(c, RoleRead)
	}
	if err != nil {
		s.writeError(w, err)
		return
	}
	s.Metrics.ServeHTTP(w, r)
}

// healthz answers as long as the process serves requests.
func (s *server) healthz(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n"))
}

// readyz answers 503 with the reason while the node takes no calls.
func (s *server) readyz(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	ready, reason := s.Node.Ready()
	if ready {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte("not ready: " + reason + "\n"))
}
