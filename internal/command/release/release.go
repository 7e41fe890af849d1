// Package release holds the command that lets a request go that is held in quarantine.
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

// requestTimeout bounds the request to the admin listener.
const requestTimeout = 5 * time.Second

// Command has a held request sent to workers again, by all nodes.
type Command struct {
	Node        string `required:"" help:"The admin listener (IP:port) of any live node."`
	Fingerprint string `arg:"" help:"The request's fingerprint, as sliphead status and the log name it."`
}

// condition is the answer of the admin listener.
type condition struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason"` // the state before, or what was wrong
}

// Run implements the command.
func (c *Command) Run(output io.Writer) error {
	const remedy = "name a live node's admin listener with --node"
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	target := "http://" + c.Node + "/quarantine/release?fingerprint=" + url.QueryEscape(c.Fingerprint)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return fault.Wrap(err, fault.Settings, remedy, "%q is no address", c.Node)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Peer, remedy, "%s does not answer", c.Node)
	}
	defer response.Body.Close()
	var told condition
	if err := json.NewDecoder(response.Body).Decode(&told); err != nil {
		return fault.Wrap(err, fault.Peer, "use the same release as the node, one that a store serves", "%s answered %s", c.Node, response.Status)
	}
	if !told.OK {
		return fault.New(fault.Caller, "copy the fingerprint from sliphead status", "%s refused: %s", c.Node, told.Reason)
	}
	_, err = fmt.Fprintf(output, "%s was %s; all nodes send it to workers again, and hold it after three more have ended\n", c.Fingerprint, told.Reason)
	return err
}
