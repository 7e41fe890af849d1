package catalog

import "slices"

// Item is one item as read by a client of the store. Exactly one of Configuration, Instance,
// Evacuation, Removed and Err is set, or both Removed and Err for an invalid record.
type Item struct {
	Revision      uint64
	Configuration func() (*Configuration, error) // decodes the configuration, which may be large
	Instance      *Instance
	Evacuation    *Evacuation
	Removed       string // id of an instance whose record was removed
	Err           error  // why the item can't be used
}

// StoreResponse is a response of the store as read by a client, in the order of revisions.
type StoreResponse struct {
	Era      uint64 // of the store at the time of the response
	From, To uint64
	Snapshot bool
	Items    []Item
	Bytes    int // size of the response
}

// Batch returns the valid contents of a response. It calls problem for each invalid item and
// leaves that item out. Of several configurations it takes the newest valid one and does not
// decode the earlier ones.
func (r *StoreResponse) Batch(problem func(error)) Batch {
	batch := Batch{Era: r.Era, From: r.From, To: r.To, Snapshot: r.Snapshot}
	configured := false
	for _, item := range slices.Backward(r.Items) {
		item.rejectInvalid()
		change := Change{Revision: item.Revision, Instance: item.Instance, Evacuation: item.Evacuation, Removed: item.Removed}
		if item.Err != nil {
			problem(item.Err)
		}
		switch {
		case item.Err != nil && item.Removed == "":
			continue
		case item.Configuration != nil && configured:
			continue
		case item.Configuration != nil:
			configuration, err := item.decodeValid()
			if err != nil {
				problem(err)
				continue
			}
			configured = true
			change.Configuration = configuration
		}
		batch.Changes = append(batch.Changes, change)
	}
	slices.Reverse(batch.Changes)
	return batch
}

// rejectInvalid turns an invalid record into a removal with an error.
func (i *Item) rejectInvalid() {
	if i.Instance == nil {
		return
	}
	if err := i.Instance.Validate(); err != nil {
		i.Removed, i.Instance, i.Err = i.Instance.ID, nil, err
	}
}

// decodeValid decodes a configuration and validates it.
func (i *Item) decodeValid() (*Configuration, error) {
	configuration, err := i.Configuration()
	if err != nil {
		return nil, err
	}
	return configuration, configuration.Validate()
}
