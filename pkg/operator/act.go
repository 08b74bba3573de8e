package operator

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

// RemoveRequest is the body of POST /v1/members/{id}/remove. It names the incarnation, so that a replacement that has
// joined meanwhile is not removed.
type RemoveRequest struct {
	Incarnation uint64 `json:"incarnation"`
}

// RemoveResponse is the answer to a removal.
type RemoveResponse struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

const (
	maxSlots       = 100_000
	maxConnections = 1_000_000
)

func (s *server) removeMember(r *http.Request, c caller, body []byte) (any, error) {
	if s.Remover == nil {
		return nil, unavailable("removal of members")
	}
	var request RemoveRequest
	if err := decodeStrict(body, &request); err != nil {
		return nil, err
	}
	id := r.PathValue("id")
	if request.Incarnation == 0 {
		return nil, apierror.InvalidField("incarnation", "missing", "use the incarnation shown by laburnumctl members")
	}
	if id == s.Node.Self().ID {
		return nil, apierror.New(apierror.Conflict, "member "+id+" is this node, which is running", "use laburnumctl drain to stop a running node")
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.Limits.PublishTimeout)
	defer cancel()
	if err := s.Remover.Remove(ctx, id, request.Incarnation); err != nil {
		return nil, err
	}
	s.Logger.Info("member_removed", zap.String("member", id), zap.Uint64("incarnation", request.Incarnation), zap.String("author", c.author("operator")))
	return RemoveResponse{ID: id, Incarnation: request.Incarnation}, nil
}

func (s *server) drain(_ *http.Request, c caller, _ []byte) (any, error) {
	if s.Drainer == nil {
		return nil, unavailable("drain")
	}
	status := s.Drainer.Drain()
	s.Logger.Info("drain_requested", zap.String("author", c.author("operator")), zap.String("state", string(status.State)), zap.Int("in_flight", status.InFlight))
	return status, nil
}

func (s *server) announce(_ *http.Request, _ caller, body []byte) (any, error) {
	if s.Backend == nil {
		return nil, unavailable("announcement")
	}
	var announcement Announcement
	if err := decodeStrict(body, &announcement); err != nil {
		return nil, err
	}
	if errs := announcement.validate(); len(errs) > 0 {
		return nil, errs
	}
	return s.Backend.Announce(announcement)
}

func (e *Endpoint) validate() apierror.List {
	var errs apierror.List
	if !config.ValidName(e.Service) {
		errs = append(errs, apierror.InvalidField("service", "invalid name "+strconv.Quote(e.Service), "use the name of a service in the configuration"))
	}
	host, port, err := net.SplitHostPort(e.Address)
	number, portErr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number < 1 || number > 65535 {
		errs = append(errs, apierror.InvalidField("address", "not an IP address and port: "+strconv.Quote(e.Address), `use "ip:port"`))
	}
	if e.Slots < 1 || e.Slots > maxSlots {
		errs = append(errs, apierror.InvalidField("slots", "out of range", "use 1 to 100000"))
	}
	if e.Connections < 1 || e.Connections > maxConnections {
		errs = append(errs, apierror.InvalidField("connections", "out of range", "use 1 to 1000000"))
	}
	switch e.State {
	case "warming", "ready", "draining", "gone":
	default:
		errs = append(errs, apierror.InvalidField("state", "unknown state "+strconv.Quote(e.State), "use warming, ready, draining or gone"))
	}
	return errs
}
