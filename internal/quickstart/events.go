package quickstart

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

// printEvents prints a streamed response and, at its end, the cost of each stage.
func (q *quickstart) printEvents(body io.Reader) error {
	fmt.Fprint(q.out, "answer: ")
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return errors.Wrap(err, "quickstart")
		}
		switch event.Type {
		case "":
			fmt.Fprint(q.out, event.Data)
		case "done":
			return q.printCosts(event.Data)
		default:
			return errors.Errorf("quickstart: stream ended with event %s: %s", event.Type, event.Data)
		}
	}
	return errors.New("quickstart: stream truncated: no final event")
}
