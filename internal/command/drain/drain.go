// Package drain implements the command that starts a node's planned stop.
package drain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"sliphead/internal/fault"
)

// requestTimeout is the timeout of the request to the admin listener.
const requestTimeout = 5 * time.Second

// Command starts a planned stop: the node accepts no new requests and stops when
// those in flight have finished.
type Command struct {
	Node string `required:"" help:"The node's admin listener (IP:port)."`
}

// Run sends the request to the node and prints a confirmation.
func (c *Command) Run(output io.Writer) error {
	const remedy = "give the admin listener of a running node with --node"
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Node+"/drain", nil)
	if err != nil {
		return fault.Wrap(err, fault.Settings, remedy, "%q is not a valid address", c.Node)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Peer, remedy, "no response from %s", c.Node)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fault.New(fault.Peer, remedy, "%s responded with %s", c.Node, response.Status)
	}
	fmt.Fprintf(output, "%s is draining: it accepts no new requests and stops when those in flight have finished\n", c.Node)
	return nil
}
