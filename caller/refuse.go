package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// errorBody is the JSON body of the answer to a refused request.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Reason    fleet.Reason    `json:"reason"`
	Outcome   fleet.Outcome   `json:"outcome"`
	Message   string          `json:"message"`
	RequestID fleet.RequestID `json:"request_id,omitempty"`
}

var statusOf = map[fleet.Reason]int{
	fleet.ReasonBadRequest:         http.StatusBadRequest,
	fleet.ReasonUnknownKey:         http.StatusUnauthorized,
	fleet.ReasonKindNotGranted:     http.StatusForbidden,
	fleet.ReasonTooLarge:           http.StatusRequestEntityTooLarge,
	fleet.ReasonShareUsedUp:        http.StatusTooManyRequests,
	fleet.ReasonQueueFull:          http.StatusTooManyRequests,
	fleet.ReasonDeadlineUnmeetable: http.StatusServiceUnavailable,
	fleet.ReasonNoUpstream:         http.StatusServiceUnavailable,
	fleet.ReasonConfigUnknown:      http.StatusServiceUnavailable,
	fleet.ReasonDraining:           http.StatusServiceUnavailable,
	fleet.ReasonClaimNotPossible:   http.StatusServiceUnavailable,
	fleet.ReasonUpstreamFailed:     http.StatusBadGateway,
	fleet.ReasonOutcomeUnknown:     http.StatusBadGateway,
}

// defaultRetryAfter holds the wait that is suggested when the refusal has no
// estimate, for reasons that cease with time.
var defaultRetryAfter = map[fleet.Reason]time.Duration{
	fleet.ReasonShareUsedUp:        time.Second,
	fleet.ReasonQueueFull:          time.Second,
	fleet.ReasonDeadlineUnmeetable: 2 * time.Second,
	fleet.ReasonNoUpstream:         2 * time.Second,
	fleet.ReasonConfigUnknown:      2 * time.Second,
	fleet.ReasonDraining:           time.Second,
	fleet.ReasonClaimNotPossible:   2 * time.Second,
	fleet.ReasonUpstreamFailed:     time.Second,
}

// retryAfter returns the value of the Retry-After header, in whole seconds
// rounded up, or "" for no header. A request that may have run gets none,
// because whether to repeat it is the caller's decision.
func retryAfter(r *fleet.Refusal) string {
	wait := r.RetryAfter
	if wait == 0 {
		wait = defaultRetryAfter[r.Reason]
	}
	if wait == 0 || r.Outcome != fleet.OutcomeNotRun {
		return ""
	}
	return strconv.Itoa(int((wait + time.Second - 1) / time.Second))
}

// refuse counts and logs a refusal and answers the caller with it.
func (s *Server) refuse(k *call, r *fleet.Refusal) error {
	s.Observer.Refused(r.Reason)
	k.log().Info("request refused", zap.String("reason", string(r.Reason)),
		zap.String("outcome", string(r.Outcome)), zap.String("detail", r.Detail))
	if r.Reason == fleet.ReasonCallerGone {
		// Closes the connection, which may still be open if the caller reads
		// too slowly.
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Reason: r.Reason, Outcome: r.Outcome, Message: r.Detail, RequestID: k.id,
	}})
	if err != nil {
		return err
	}
	if k.c.Response().Committed {
		return s.refuseStarted(k, body)
	}
	if wait := retryAfter(r); wait != "" {
		k.c.Response().Header().Set("Retry-After", wait)
	}
	status, ok := statusOf[r.Reason]
	if !ok {
		status = http.StatusInternalServerError
	}
	k.writeDeadline.extend()
	return k.c.JSONBlob(status, body)
}

// refuseStarted ends an answer whose header was already sent: a stream with an
// error event, any other answer by closing the connection, so that it cannot be
// taken for complete.
func (s *Server) refuseStarted(k *call, body []byte) error {
	if k.events == nil {
		panic(http.ErrAbortHandler)
	}
	return k.events.fail(body)
}
