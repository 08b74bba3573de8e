package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return apierror.New(apierror.Invalid, "the request body is not valid: "+err.Error(), "correct the request")
	}
	if decoder.More() {
		return apierror.New(apierror.Invalid, "data after the JSON value", "send one JSON value")
	}
	return nil
}

// publish does not judge the record by the state of this node, which may be older than what the record is based on. The
// publisher validates it against the tail of the log.
func (s *server) publish(r *http.Request, c caller, body []byte) (any, error) {
	if s.Publisher == nil {
		return nil, unavailable("publishing")
	}
	record, err := s.parseRecord(c, body)
	if err != nil {
		return nil, err
	}
	release, err := acquire(s.publishing)
	if err != nil {
		return nil, err
	}
	defer release()
	ctx, cancel := context.WithTimeout(r.Context(), s.Limits.PublishTimeout)
	defer cancel()
	result, err := s.Publisher.Publish(ctx, record)
	if err != nil {
		s.Logger.Warn("publish_failed", zap.String("record", record.ID), zap.String("entity", record.Entity.String()), zap.Error(err))
		return nil, publishError(err)
	}
	return s.resultAnswer(record, result), nil
}

func (s *server) parseRecord(c caller, body []byte) (*config.Record, error) {
	record, err := config.ParseRecord(body)
	if err != nil {
		return nil, err
	}
	if !c.mayPublish(record.Entity) {
		s.Metrics.Inc("operator_refused", "reason", string(apierror.Forbidden))
		return nil, forbiddenEntity(record.Entity)
	}
	record.Author = c.author(record.Author)
	return record, nil
}

func forbiddenEntity(entity config.Entity) *apierror.Error {
	remedy := "use a token with role publish-templates"
	if entity.Kind == config.KindParameters {
		remedy = "use a token with role publish-parameters for this team"
	}
	return &apierror.Error{Kind: apierror.Forbidden, Field: "entity", Message: "this token may not change " + entity.String(), Remedy: remedy}
}

// resultAnswer maps an outcome to a status. The body is the result in every case.
func (s *server) resultAnswer(record *config.Record, result config.Result) statusAnswer {
	s.Metrics.Inc("operator_records", "outcome", string(result.Outcome))
	s.Logger.Info("record", zap.String("record", record.ID), zap.String("entity", record.Entity.String()),
		zap.String("verb", string(record.Verb)), zap.String("author", record.Author),
		zap.String("outcome", string(result.Outcome)), zap.Int64("offset", result.Offset))
	switch result.Outcome {
	case config.Conflict:
		return statusAnswer{status: http.StatusConflict, body: result}
	case config.Rejected:
		return statusAnswer{status: http.StatusUnprocessableEntity, body: result}
	default:
		return statusAnswer{status: http.StatusOK, body: result}
	}
}

// publishError turns untyped errors and time-outs into kind unknown: the append may have taken effect.
func publishError(err error) error {
	if kind := apierror.KindOf(err); kind != apierror.Internal {
		return err
	}
	return apierror.New(apierror.Unknown, "the outcome is unknown: "+err.Error(), "repeat with the same record id")
}

func (s *server) validate(r *http.Request, _ caller, body []byte) (any, error) {
	release, err := acquire(s.validating)
	if err != nil {
		return nil, err
	}
	defer release()
	var request ValidateRequest
	if err := decodeStrict(body, &request); err != nil {
		return nil, err
	}
	if len(request.Records) == 0 || len(request.Records) > s.Limits.ValidateRecords {
		return nil, apierror.InvalidField("records", "no records or too many", fmt.Sprintf("send 1 to %d records", s.Limits.ValidateRecords))
	}
	return validateRecords(r.Context(), s.Node.State(), request.Records)
}

// validateRecords applies records to a state without publishing them. A record without an id gets one.
func validateRecords(ctx context.Context, state *config.State, records []config.Record) (ValidateResponse, error) {
	answer := ValidateResponse{Version: state.Version, Valid: true}
	before := state.Snapshot()
	for i := range records {
		if ctx.Err() != nil {
			return answer, apierror.New(apierror.Unavailable, "the request ended before validation was complete", "send fewer records")
		}
		record := records[i]
		if record.ID == "" {
			record.ID = uuid.NewString()
		}
		next, result := applyRecord(state, &record)
		state = next
		answer.Results = append(answer.Results, result)
		answer.Valid = answer.Valid && result.Outcome == config.Accepted
	}
	answer.Changes = config.Diff(before, state.Snapshot())
	return answer, nil
}

func applyRecord(state *config.State, record *config.Record) (*config.State, config.Result) {
	encoded, err := json.Marshal(record)
	if err != nil {
		refusal := apierror.InvalidField("payload", "not valid JSON: "+err.Error(), "correct the payload")
		return state, config.Result{RecordID: record.ID, Outcome: config.Rejected, Errors: apierror.List{refusal}}
	}
	return config.Apply(state, state.Offset+1, encoded)
}

func unavailable(what string) *apierror.Error {
	return apierror.New(apierror.Unavailable, what+" is not available on this node", "use another node")
}
