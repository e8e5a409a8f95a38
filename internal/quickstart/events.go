package quickstart

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

// printEvents prints a streamed answer and, at its end, what each stage cost.
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
			return errors.Errorf("quickstart: the stream ended with %s: %s", event.Type, event.Data)
		}
	}
	return errors.New("quickstart: the stream was cut")
}
