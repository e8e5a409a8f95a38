package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// roleBoth is the role of engines that read prompts and generate.
const roleBoth = "both"

const maxAnswerBytes = 64 << 10

// engineState is an order, and the answer of an engine that tells which one it
// follows.
type engineState struct {
	Fence   uint64 `json:"fence"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Loading bool   `json:"loading,omitempty"`
}

// errFenced is the answer of an engine that follows a newer order.
var errFenced = errors.New("the engine follows a newer order")

// engineClient calls the engines' interface for orders.
type engineClient struct{ client *http.Client }

// state asks an engine which order it follows.
func (c engineClient) state(ctx context.Context, address string) (engineState, error) {
	return c.call(ctx, http.MethodGet, address, nil)
}

// send gives an engine an order.
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return s, errors.Wrap(err, "order")
	case resp.StatusCode == http.StatusConflict:
		return s, errFenced
	case resp.StatusCode != http.StatusOK:
		return s, errors.Errorf("order: status %d", resp.StatusCode)
	}
	return s, errors.Wrap(json.Unmarshal(answer, &s), "order")
}
