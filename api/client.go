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

// maxAnswerBytes bounds an answer of the API.
const maxAnswerBytes = 64 << 20

// Client calls the administration API of one instance.
type Client struct {
	// Base is the instance's URL, such as http://127.0.0.1:9090.
	Base  string
	Token string
	HTTP  *http.Client
}

// ProblemError is an answer of the API that says why a call failed.
type ProblemError struct{ httpapi.Problem }

// Error implements error.
func (e *ProblemError) Error() string {
	return strconv.Itoa(e.Status) + " " + e.Title + ": " + e.Detail
}

// do makes one call. Statuses in also, besides 200, carry the same answer.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte, out any, also ...int) error {
	target := strings.TrimSuffix(c.Base, "/") + path
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "administration API")
	}
	ok := resp.StatusCode == http.StatusOK
	for _, status := range also {
		ok = ok || resp.StatusCode == status
	}
	if !ok {
		return problemOf(resp, answer)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(answer, out), "administration API: answer")
}

func problemOf(resp *http.Response, answer []byte) error {
	e := &ProblemError{httpapi.Problem{Status: resp.StatusCode, Title: http.StatusText(resp.StatusCode)}}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		_ = json.Unmarshal(answer, &e.Problem)
	}
	return e
}

// Tables returns all sections in force.
func (c *Client) Tables(ctx context.Context) (Tables, error) {
	var t Tables
	err := c.do(ctx, http.MethodGet, "/v1/tables", nil, nil, &t)
	return t, err
}

// sectionPath is the path of a section such as "route answer".
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

// Edit submits an edit. Its Operator is ignored: the token tells who edits.
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

// Applied tells where a revision is in force.
func (c *Client) Applied(ctx context.Context, revision uint64) (Applied, error) {
	var a Applied
	err := c.do(ctx, http.MethodGet, "/v1/applied/"+strconv.FormatUint(revision, 10), nil, nil, &a)
	return a, err
}

// Members returns the instance's view of all instances.
func (c *Client) Members(ctx context.Context) (kernel.MemberView, error) {
	var v kernel.MemberView
	err := c.do(ctx, http.MethodGet, "/v1/members", nil, nil, &v)
	return v, err
}

// Moves tells how moves of versions and availability zones stand.
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

// Settle ends a claim in doubt.
func (c *Client) Settle(ctx context.Context, s Settlement) error {
	body, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "administration API")
	}
	return c.do(ctx, http.MethodPost, "/v1/claims/settle", nil, body, nil)
}

// Dump returns the instance's state as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var d json.RawMessage
	err := c.do(ctx, http.MethodGet, "/v1/dump", nil, nil, &d)
	return d, err
}

// Records returns decoded records of a stream from an offset on.
func (c *Client) Records(ctx context.Context, stream string, from uint64) (Records, error) {
	var r Records
	query := url.Values{"stream": {stream}, "from": {strconv.FormatUint(from, 10)}}
	err := c.do(ctx, http.MethodGet, "/v1/log", query, nil, &r)
	return r, err
}

// SetLogLevel changes the lowest level that the instance logs.
func (c *Client) SetLogLevel(ctx context.Context, level string) error {
	body, err := json.Marshal(LogLevel{Level: level})
	if err != nil {
		return errors.Wrap(err, "administration API")
	}
	return c.do(ctx, http.MethodPut, "/v1/log-level", nil, body, nil)
}
