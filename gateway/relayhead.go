package gateway

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// relayHeader is the header with what one instance tells another about a relayed request
// and its answer. It is never taken from callers or servers, nor passed to them.
const relayHeader = "Instance-Relay"

// Fields of relayHeader, encoded as a query.
const (
	fieldFrom       = "from"
	fieldAttempts   = "attempts"
	fieldVersion    = "version"
	fieldMayHaveRun = "may-have-run"
	fieldDemand     = "demand-counted"
	fieldUsage      = "usage-counted"
	fieldSoftware   = "software"
	fieldID         = "id"
	fieldRefused    = "refused"
	fieldStream     = "stream"
)

// hop is what an instance tells another about a request that it relays.
type hop struct {
	from fleet.InstanceID
	// attempts is the number of servers to which the request may still be sent.
	attempts int
	// version is the version of the configuration by which it was accepted.
	version int64
	// mayHaveRun reports whether a server may have run the request before; demandCounted
	// and usageCounted report whether it has been counted as demand, and for the usage
	// reports.
	mayHaveRun, demandCounted, usageCounted bool
	// software is the software version that began the stream; nil for none.
	software *string
	// sends is the number of attempts that were made before, and outcome what became of
	// the request here.
	sends   int
	outcome RelayOutcome
}

func (h *hop) encode() string {
	v := url.Values{fieldFrom: {string(h.from)}, fieldAttempts: {strconv.Itoa(h.attempts)}, fieldVersion: {strconv.FormatInt(h.version, 10)}}
	if h.mayHaveRun {
		v.Set(fieldMayHaveRun, "1")
	}
	if h.demandCounted {
		v.Set(fieldDemand, "1")
	}
	if h.usageCounted {
		v.Set(fieldUsage, "1")
	}
	if h.software != nil {
		v.Set(fieldSoftware, *h.software)
	}
	return v.Encode()
}

// parseHop decodes the header of a relayed request.
func parseHop(h http.Header) (*hop, error) {
	v, err := url.ParseQuery(h.Get(relayHeader))
	if err != nil {
		return nil, errors.Wrap(err, "decode relayed request")
	}
	attempts, err := strconv.Atoi(v.Get(fieldAttempts))
	if err != nil || attempts < 1 || v.Get(fieldFrom) == "" {
		return nil, errors.New("decode relayed request: no instance or no attempts")
	}
	version, err := strconv.ParseInt(v.Get(fieldVersion), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "decode relayed request: version")
	}
	out := &hop{
		version: version, from: fleet.InstanceID(v.Get(fieldFrom)), attempts: attempts, mayHaveRun: v.Has(fieldMayHaveRun),
		demandCounted: v.Has(fieldDemand), usageCounted: v.Has(fieldUsage),
	}
	if v.Has(fieldSoftware) {
		software := v.Get(fieldSoftware)
		out.software = &software
	}
	return out, nil
}

// hopAnswer is what the other instance tells about its answer.
type hopAnswer struct {
	// marked reports whether the answer comes from an instance that has read the request.
	marked bool
	id     fleet.RequestID
	// refused is why it has done nothing with the request; "" if it has taken it.
	refused RelayOutcome
	// stream reports whether the answer is a stream, and software the version of the
	// server that began it.
	stream   bool
	software *string
}

func (a *hopAnswer) encode() string {
	v := url.Values{fieldID: {string(a.id)}}
	if a.refused != "" {
		v.Set(fieldRefused, string(a.refused))
	}
	if a.stream {
		v.Set(fieldStream, "1")
	}
	if a.software != nil {
		v.Set(fieldSoftware, *a.software)
	}
	return v.Encode()
}

// parseHopAnswer decodes the header of an answer to a relayed request.
func parseHopAnswer(h http.Header) hopAnswer {
	v, err := url.ParseQuery(h.Get(relayHeader))
	if err != nil || !v.Has(fieldID) {
		return hopAnswer{}
	}
	out := hopAnswer{marked: true, id: fleet.RequestID(v.Get(fieldID)), stream: v.Has(fieldStream)}
	switch refused := RelayOutcome(v.Get(fieldRefused)); refused {
	case "", RelayPartitioned, RelayStarting, RelayStopping, RelayBehind:
		out.refused = refused
	default:
		out.refused = RelayFull
	}
	if v.Has(fieldSoftware) {
		software := v.Get(fieldSoftware)
		out.software = &software
	}
	return out
}

// hopDecoder is the connpool.Decoder of answers of other instances. The id that a server
// leaves out of its answer is in relayHeader.
type hopDecoder struct{}

// ParseAnswer implements connpool.Decoder.
func (hopDecoder) ParseAnswer(_ int, h http.Header) call.Answer {
	return call.Answer{RequestID: parseHopAnswer(h).id}
}
