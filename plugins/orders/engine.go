package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/upstream"
)

// roleBoth is the role of an engine that both processes prompts and generates.
const roleBoth = "both"

const maxResponseBytes = 64 << 10

// engineState is the body of an order, and of an engine's response that states
// the order it follows.
type engineState struct {
	Fence   uint64 `json:"fence"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Loading bool   `json:"loading,omitempty"`
}

// errFenced is returned when an engine refuses an order because it already
// follows a newer one.
var errFenced = errors.New("the engine follows a newer order")

// engineClient is a client of the order API of engines.
type engineClient struct{ client *http.Client }

// state returns the order that an engine follows.
func (c engineClient) state(ctx context.Context, address string) (engineState, error) {
	return c.call(ctx, http.MethodGet, address, nil)
}

// send sends an order to an engine.
func (c engineClient) send(ctx context.Context, address string, order engineState) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "order")
	}
	_, err = c.call(ctx, http.MethodPost, address, body)
	return err
}

func (c engineClient) call(ctx context.Context, method, address string, body []byte) (engineState, error) {
	var s engineState
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return s, errors.Wrap(err, "order")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return s, errors.Wrap(err, "order")
	}
	defer resp.Body.Close()
	respBody, err := upstream.ReadBody(resp, resp.Body, maxResponseBytes)
	switch {
	case err != nil:
		return s, errors.Wrap(err, "order")
	case resp.StatusCode == http.StatusConflict:
		return s, errFenced
	case resp.StatusCode != http.StatusOK:
		return s, errors.Errorf("order: status %d", resp.StatusCode)
	}
	return s, errors.Wrap(json.Unmarshal(respBody, &s), "order")
}
