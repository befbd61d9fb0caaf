// Package explanation holds the question where a described request would go at an
// instance, and the answer. The instance and the command line exchange them as
// the parameters of a URL and as JSON.
package explanation

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// Path is the path at the metrics listener that answers questions.
const Path = "/explain"

// Names of the parameters.
const (
	hostParameter     = "host"
	pathParameter     = "path"
	promptParameter   = "prompt_tokens"
	outputParameter   = "output_tokens"
	partsParameter    = "parts"
	deadlineParameter = "deadline_ms"
	memberParameter   = "member"
)

const (
	// maxText bounds each name and maxParts the parts of a prompt. With headers the
	// whole question has to stay below the 4 KiB of the metrics listener.
	maxText  = 256
	maxParts = 64
	// maxCount bounds tokens and milliseconds.
	maxCount = 1 << 30
)

// Question describes a request.
type Question struct {
	Host, Path                 string
	PromptTokens, OutputTokens int
	// Parts are the parts of the prompt in order.
	Parts []call.Part
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// Member is the name of the member that sends the request; "" for none.
	Member fleet.MemberID
}

// Values returns the question as parameters.
func (q Question) Values() url.Values {
	out := url.Values{hostParameter: {q.Host}, pathParameter: {q.Path}}
	for name, n := range map[string]int64{
		promptParameter: int64(q.PromptTokens), outputParameter: int64(q.OutputTokens), deadlineParameter: q.Deadline.Milliseconds(),
	} {
		if n > 0 {
			out.Set(name, strconv.FormatInt(n, 10))
		}
	}
	if len(q.Parts) > 0 {
		list := make([]string, 0, len(q.Parts))
		for _, p := range q.Parts {
			list = append(list, p.ID+":"+strconv.Itoa(p.Tokens))
		}
		out.Set(partsParameter, strings.Join(list, ","))
	}
	if q.Member != "" {
		out.Set(memberParameter, string(q.Member))
	}
	return out
}

// Parse decodes parameters. An unknown one is an error, which does not repeat its
// value: it may be a key that was given by mistake.
func Parse(in url.Values) (Question, error) {
	var q Question
	for name, values := range in {
		if len(values) != 1 {
			return Question{}, errors.Errorf("parameter %.32q is given more than once", name)
		}
		value := values[0]
		var err error
		var n int64
		switch name {
		case hostParameter:
			q.Host, err = value, checkText(value)
		case pathParameter:
			q.Path, err = value, checkText(value)
		case memberParameter:
			q.Member, err = fleet.MemberID(value), checkText(value)
		case promptParameter:
			n, err = parseCount(value)
			q.PromptTokens = int(n)
		case outputParameter:
			n, err = parseCount(value)
			q.OutputTokens = int(n)
		case deadlineParameter:
			n, err = parseCount(value)
			q.Deadline = time.Duration(n) * time.Millisecond
		case partsParameter:
			q.Parts, err = ParseParts(value)
		default:
			err = errors.New("is unknown")
		}
		if err != nil {
			return Question{}, errors.Wrapf(err, "parameter %.32q", name)
		}
	}
	switch {
	case q.Host == "":
		return Question{}, errors.New("the host is missing")
	case !strings.HasPrefix(q.Path, "/"):
		return Question{}, errors.New("the path does not begin with /")
	}
	return q, nil
}

func checkText(text string) error {
	if len(text) > maxText {
		return errors.Errorf("is longer than %d bytes", maxText)
	}
	return nil
}

func parseCount(text string) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > maxCount {
		return 0, errors.Errorf("is not a number from 0 to %d", maxCount)
	}
	return n, nil
}

// ParseParts decodes the parts of a prompt, id:tokens separated by commas.
func ParseParts(text string) ([]call.Part, error) {
	if text == "" {
		return nil, nil
	}
	list := strings.Split(text, ",")
	if len(list) > maxParts {
		return nil, errors.Errorf("has more than %d parts", maxParts)
	}
	var out []call.Part
	for i, entry := range list {
		id, tokens, ok := strings.Cut(entry, ":")
		if !ok || id == "" || len(id) > maxText {
			return nil, errors.Errorf("part %d is not id:tokens", i+1)
		}
		n, err := parseCount(tokens)
		if err != nil {
			return nil, errors.Wrapf(err, "part %d", i+1)
		}
		out = append(out, call.Part{ID: id, Tokens: int(n)})
	}
	return out, nil
}
