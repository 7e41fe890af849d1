package catalog

import "slices"

// Item is one item as a client of the store has read it. Exactly one of
// Configuration, Instance, Evacuation, Removed and Err is set; or Removed and Err, for a
// record that names no worker.
type Item struct {
	Revision      uint64
	Configuration func() (*Configuration, error) // decodes a configuration, which is long
	Instance      *Instance
	Evacuation    *Evacuation
	Removed       string // id of an instance whose record is gone
	Err           error  // why the item can't be used
}

// Answer is what a client of the store has read, in the order of revisions.
type Answer struct {
	Era      uint64 // of the store, when it answered
	From, To uint64
	Whole    bool
	Items    []Item
	Bytes    int // that came
}

// Batch returns what an answer brings. An item that can't be used spoils no
// other: the problem is told, and the item left out. Of several configurations
// the newest that is sound counts; those before it are not decoded.
func (a *Answer) Batch(problem func(error)) Batch {
	batch := Batch{Era: a.Era, From: a.From, To: a.To, Whole: a.Whole}
	configured := false
	for _, item := range slices.Backward(a.Items) {
		item.refuseUnusable()
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
			configuration, err := item.sound()
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

// refuseUnusable takes a record that can be no worker's for none.
func (i *Item) refuseUnusable() {
	if i.Instance == nil {
		return
	}
	if err := i.Instance.Validate(); err != nil {
		i.Removed, i.Instance, i.Err = i.Instance.ID, nil, err
	}
}

// sound decodes a configuration and checks it.
func (i *Item) sound() (*Configuration, error) {
	configuration, err := i.Configuration()
	if err != nil {
		return nil, err
	}
	return configuration, configuration.Validate()
}
