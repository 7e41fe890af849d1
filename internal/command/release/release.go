// Package release implements the command that releases a request from quarantine.
package release

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"sliphead/internal/fault"
)

// requestTimeout is the timeout of the request to the admin listener.
const requestTimeout = 5 * time.Second

// Command releases a quarantined request, so that all nodes send it to workers again.
type Command struct {
	Node        string `required:"" help:"The admin listener (IP:port) of any running node."`
	Fingerprint string `arg:"" help:"The request's fingerprint, as shown by sliphead status and in the log."`
}

// adminResponse is the response body of the admin listener.
type adminResponse struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason"` // the previous state of the request, or the reason of a failure
}

// Run sends the request to the node and prints the previous state of the quarantined
// request.
func (c *Command) Run(output io.Writer) error {
	const remedy = "give the admin listener of a running node with --node"
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	target := "http://" + c.Node + "/quarantine/release?fingerprint=" + url.QueryEscape(c.Fingerprint)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return fault.Wrap(err, fault.Settings, remedy, "%q is not a valid address", c.Node)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Peer, remedy, "no response from %s", c.Node)
	}
	defer response.Body.Close()
	var body adminResponse
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return fault.Wrap(err, fault.Peer, "use the same release as the node, and a node that is served by a store", "%s responded with %s", c.Node, response.Status)
	}
	if !body.OK {
		return fault.New(fault.Caller, "copy the fingerprint from sliphead status", "%s rejected the release: %s", c.Node, body.Reason)
	}
	_, err = fmt.Fprintf(output, "%s was %s; all nodes send it to workers again, and quarantine it again after it has crashed three more workers\n", c.Fingerprint, body.Reason)
	return err
}
