package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
)

// maxResponseBytes is the size at which response bodies are truncated.
const maxResponseBytes = 64 << 20

// Client calls the administration API of one instance. All fields are required.
// Its methods return a *ProblemError if the API responds with an error status.
type Client struct {
	// BaseURL is the instance's URL, such as http://127.0.0.1:9090.
	BaseURL string
	Token   string
	HTTP    *http.Client
}

// ProblemError is an error response of the API.
type ProblemError struct{ httpapi.Problem }

// Error implements error.
func (e *ProblemError) Error() string {
	return strconv.Itoa(e.Status) + " " + e.Title + ": " + e.Detail
}

// do sends one request and decodes the response into out. Responses with status
// 200 or one of the statuses in accepted are decoded; any other is an error.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte, out any, accepted ...int) error {
	target := strings.TrimSuffix(c.BaseURL, "/") + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "administration API")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "administration API")
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "administration API")
	}
	ok := resp.StatusCode == http.StatusOK
	for _, status := range accepted {
		ok = ok || resp.StatusCode == status
	}
	if !ok {
		return problemOf(resp, responseBody)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(responseBody, out), "administration API: decode response")
}

func problemOf(resp *http.Response, body []byte) error {
	e := &ProblemError{httpapi.Problem{Status: resp.StatusCode, Title: http.StatusText(resp.StatusCode)}}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		_ = json.Unmarshal(body, &e.Problem)
	}
	return e
}

// Tables returns all active sections.
func (c *Client) Tables(ctx context.Context) (Tables, error) {
	var t Tables
	err := c.do(ctx, http.MethodGet, "/v1/tables", nil, nil, &t)
	return t, err
}

// sectionPath returns the URL path of a section such as "route answer".
func sectionPath(section string) string {
	kind, name, _ := strings.Cut(section, " ")
	return "/v1/tables/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Section returns one section.
func (c *Client) Section(ctx context.Context, section string) (config.Section, error) {
	var s config.Section
	err := c.do(ctx, http.MethodGet, sectionPath(section), nil, nil, &s)
	return s, err
}

// Edit submits an edit. Its field Operator is ignored, because the token
// identifies the operator. A superseded or invalid edit is not an error but a
// status of the result.
func (c *Client) Edit(ctx context.Context, e config.Edit) (config.EditResult, error) {
	method := http.MethodPut
	if e.Delete {
		method = http.MethodDelete
	}
	query := url.Values{"id": {e.ID}, "base": {strconv.FormatUint(e.Base, 10)}}
	var result config.EditResult
	err := c.do(ctx, method, sectionPath(e.Section), query, []byte(e.Body), &result,
		http.StatusConflict, http.StatusUnprocessableEntity)
	return result, err
}

// Applied returns on how many instances a revision, or a newer one, is active.
func (c *Client) Applied(ctx context.Context, revision uint64) (Applied, error) {
	var a Applied
	err := c.do(ctx, http.MethodGet, "/v1/applied/"+strconv.FormatUint(revision, 10), nil, nil, &a)
	return a, err
}

// Members returns all instances as the called instance sees them.
func (c *Client) Members(ctx context.Context) (kernel.MemberView, error) {
	var v kernel.MemberView
	err := c.do(ctx, http.MethodGet, "/v1/members", nil, nil, &v)
	return v, err
}

// Moves returns the state of rollouts of versions and of moves of availability
// zones.
func (c *Client) Moves(ctx context.Context) ([]kernel.MoveStatus, error) {
	var m []kernel.MoveStatus
	err := c.do(ctx, http.MethodGet, "/v1/moves", nil, nil, &m)
	return m, err
}

// Claims returns the claims in doubt.
func (c *Client) Claims(ctx context.Context) ([]kernel.ClaimInfo, error) {
	var claims []kernel.ClaimInfo
	err := c.do(ctx, http.MethodGet, "/v1/claims", nil, nil, &claims)
	return claims, err
}

// Settle submits an operator's decision on a claim in doubt.
func (c *Client) Settle(ctx context.Context, s Settlement) error {
	body, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "administration API")
	}
	return c.do(ctx, http.MethodPost, "/v1/claims/settle", nil, body, nil)
}

// ExplainChoice returns where the called instance would send a request now.
func (c *Client) ExplainChoice(ctx context.Context, q kernel.ChoiceQuery) (kernel.ChoiceExplanation, error) {
	var x kernel.ChoiceExplanation
	body, err := json.Marshal(q)
	if err != nil {
		return x, errors.Wrap(err, "administration API")
	}
	err = c.do(ctx, http.MethodPost, "/v1/choice", nil, body, &x)
	return x, err
}

// Dump returns the instance's state as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var d json.RawMessage
	err := c.do(ctx, http.MethodGet, "/v1/dump", nil, nil, &d)
	return d, err
}

// Records returns decoded records of a stream, starting at the offset from.
func (c *Client) Records(ctx context.Context, stream string, from uint64) (Records, error) {
	var r Records
	query := url.Values{"stream": {stream}, "from": {strconv.FormatUint(from, 10)}}
	err := c.do(ctx, http.MethodGet, "/v1/log", query, nil, &r)
	return r, err
}

// SetLogLevel sets the lowest level that the instance logs: debug, info, warn or
// error.
func (c *Client) SetLogLevel(ctx context.Context, level string) error {
	body, err := json.Marshal(LogLevel{Level: level})
	if err != nil {
		return errors.Wrap(err, "administration API")
	}
	return c.do(ctx, http.MethodPut, "/v1/log-level", nil, body, nil)
}
