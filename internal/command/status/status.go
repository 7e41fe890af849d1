// Package status implements the command that shows a node's status.
package status

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"sliphead/internal/fault"
	"sliphead/internal/node"
	"sliphead/internal/traffic/workerlimit"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// requestTimeout is the timeout of the request to the admin listener.
const requestTimeout = 5 * time.Second

// Command prints a node's status and its view of the fleet.
type Command struct {
	Node string `required:"" help:"The node's admin listener (IP:port)."`
	JSON bool   `help:"Print the complete status as JSON."`
}

// Run fetches the status and prints it.
func (c *Command) Run(output io.Writer) error {
	body, err := fetch(c.Node)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = output.Write(body)
		return err
	}
	var catalog node.CatalogStatus
	if err := json.Unmarshal(body, &catalog); err == nil && len(catalog.Off) > 0 {
		return writeCatalog(output, catalog)
	}
	var status node.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return fault.Wrap(err, fault.Peer, "use the same release as the node", "the status of %s cannot be decoded", c.Node)
	}
	return write(output, status)
}

// fetch requests the status from an admin listener and returns the response's body.
func fetch(address string) ([]byte, error) {
	const remedy = "give the admin listener of a running node with --node"
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, remedy, "%q is not a valid address", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fault.Wrap(err, fault.Peer, remedy, "no response from %s", address)
	}
	defer response.Body.Close()
	const maxBytes = 16 << 20
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	return body, fault.Wrap(err, fault.Peer, remedy, "the response of %s ended early", address)
}

// write prints a status as text, the most urgent information first.
func write(output io.Writer, status node.Status) error {
	fmt.Fprintf(output, "node       %s in zone %s\n", status.Name, status.Zone)
	fmt.Fprintf(output, "ready      %t %s\n", status.Ready, status.Reason)
	fmt.Fprintf(output, "version    %s in force, %s staged\n", status.Version, status.Distribution.Staged)
	if failure := status.Distribution.SourceFail; status.Distribution.Reader && failure != "" {
		fmt.Fprintf(output, "source     failed: %s\n", failure)
	}
	lowest, highest, behind := fleetVersions(status)
	fmt.Fprintf(output, "fleet      %d members, versions %s to %s as last reported\n", len(status.Members), lowest, highest)
	for _, name := range behind {
		fmt.Fprintf(output, "behind     %s at %s\n", name, status.PeerVersions[name])
	}
	fmt.Fprintf(output, "readers    %v\n", status.Distribution.Readers)
	fmt.Fprintf(output, "tree       parent %q, children %v\n", status.Distribution.Parent, status.Distribution.Children)
	for _, waiting := range status.Distribution.Waiting {
		fmt.Fprintf(output, "waiting    %s for %s since %s\n", waiting.Version, waiting.Key, waiting.Since.Format(time.RFC3339))
	}
	for _, refused := range status.Distribution.Refused {
		fmt.Fprintf(output, "refused    %s: %s\n", refused.Version, refused.Reason)
	}
	for _, member := range status.Members {
		if member.Status != wire.StatusAlive || (member.Worker != "" && member.Endpoint != wire.EndpointReady) {
			fmt.Fprintf(output, "member     %s is %s, worker %s\n", member.Name, member.Status, cmp.Or(member.Endpoint, "none"))
		}
	}
	return nil
}

// writeCatalog prints the status of a node that is served by a store.
func writeCatalog(output io.Writer, status node.CatalogStatus) error {
	role := "reads the store"
	if !status.Replication.Reader {
		role = "follows " + cmp.Or(status.Replication.Following, "nobody")
	}
	_, err := fmt.Fprintf(output, `node       %s in zone %s, service %s
ready      %t %s
version    %d in force, store revision %d of era %d, confirmed %.2f s ago
updates    %s, forwarded to %d nodes
instances  %d recorded, %d records and evacuation orders of a restored store not applied yet
evacuated  %s
requests   %d in flight, %d slots in use, %d queued
quarantine %d requests held, %d suspected
off        %s
`, status.Node, status.Zone, status.Service, status.Ready, status.Reason,
		status.Replication.Version, status.Replication.Revision, status.Replication.Era, status.Replication.AgeSeconds,
		role, status.Replication.Followers, status.Replication.Instances, status.Replication.Doubted, cmp.Or(strings.Join(status.Evacuated, ", "), "no zone"),
		status.InFlight, status.Slots, status.Queued, status.Quarantine.Held, status.Quarantine.Suspected, strings.Join(status.Off, ", "))
	if err != nil {
		return err
	}
	if limit := status.Limit; limit.Limited {
		fmt.Fprintf(output, "limit      %g requests/s, advertised by the worker for %.1f s, %d sent in the last %s\n", limit.PerSecond, limit.ForS, limit.Sent, workerlimit.SentWindow)
	}
	if limits := status.Quota; limits != nil {
		fmt.Fprintf(output, "quota      %d tenants with a limit, %d stripes here, %d tokens available\n", limits.Tenants, limits.Stripes, limits.CachedTokens)
	}
	for _, each := range status.Quarantine.Requests {
		fmt.Fprintf(output, "%-10s %s, next trial in %.0f s after %d trials, workers %s\n", each.State, each.Fingerprint, each.TrialIn, each.Trials, strings.Join(each.Workers, ", "))
	}
	return nil
}

// fleetVersions returns the lowest and highest version in force among the node and its
// peers, as last reported, and the sorted names of the peers below the highest.
func fleetVersions(status node.Status) (lowest, highest version.Version, behind []string) {
	lowest, highest = status.Version, status.Version
	for _, reported := range status.PeerVersions {
		highest = version.Max(highest, reported)
		if lowest.After(reported) {
			lowest = reported
		}
	}
	for name, reported := range status.PeerVersions {
		if highest.After(reported) {
			behind = append(behind, name)
		}
	}
	slices.Sort(behind)
	return lowest, highest, behind
}
