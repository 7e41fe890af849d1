// Package drain holds the command that begins a node's planned stop.
package drain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"sliphead/internal/fault"
)

// requestTimeout bounds the request to the admin listener.
const requestTimeout = 5 * time.Second

// Command begins a planned stop: no new requests, all in flight finish.
type Command struct {
	Node string `required:"" help:"The node's admin listener (IP:port)."`
}

// Run implements the command.
func (c *Command) Run(output io.Writer) error {
	const remedy = "name a live node's admin listener with --node"
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Node+"/drain", nil)
	if err != nil {
		return fault.Wrap(err, fault.Settings, remedy, "%q is no address", c.Node)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Peer, remedy, "%s does not answer", c.Node)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fault.New(fault.Peer, remedy, "%s answered %s", c.Node, response.Status)
	}
	fmt.Fprintf(output, "%s drains: it takes no new requests and leaves when those in flight have ended\n", c.Node)
	return nil
}
