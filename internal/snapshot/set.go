// Package snapshot holds a configuration version as an immutable set of
// resources, the differences between two sets, and what traffic reads: routes
// with their endpoints, resolved for one moment. It holds no sockets.
package snapshot

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/internal/version"
)

// Set is one configuration version: every resource that it names, with the
// bodies held so far. It is immutable and safe for any number of readers.
type Set struct {
	version version.Version
	entries []entry // sorted by key
}

// Empty returns the set of a node that holds nothing.
func Empty() *Set { return &Set{} }

// Build splits a document into resources. Values of secrets that are not given
// or do not match the declared digest stay missing.
func Build(document *declaration.Document, revision uint64, secrets map[string]string) (*Set, error) {
	resources, err := split(document)
	if err != nil {
		return nil, err
	}
	entries, err := newEntries(resources)
	if err != nil {
		return nil, err
	}
	set := newSet(document.Epoch, revision, entries)
	return set.WithBodies(secretResources(document, secrets)), nil
}

// newSet derives the version's digest from sorted entries.
func newSet(epoch, revision uint64, entries []entry) *Set {
	return &Set{
		version: version.Version{Epoch: epoch, Revision: revision, Digest: digestOf(entries)},
		entries: entries,
	}
}

// Version returns the version of the set.
func (s *Set) Version() version.Version { return s.version }

// Len returns the number of resources named, held or not.
func (s *Set) Len() int { return len(s.entries) }

// Missing returns the keys of the resources whose bodies are not held, sorted.
func (s *Set) Missing() []Key {
	var missing []Key
	for _, held := range s.entries {
		if held.Body == nil {
			missing = append(missing, held.Key)
		}
	}
	return missing
}

// Complete reports whether all bodies are held.
func (s *Set) Complete() bool {
	return !slices.ContainsFunc(s.entries, func(held entry) bool { return held.Body == nil })
}

// Lookup returns a resource by key. Its body is nil while it is missing.
func (s *Set) Lookup(key Key) (Resource, bool) {
	index, found := search(s.entries, key)
	if !found {
		return Resource{}, false
	}
	return s.entries[index].Resource, true
}

// WithBodies returns a set in which missing bodies are filled from resources.
// Resources that the set does not name, or whose bodies do not match the
// named digest, are passed over.
func (s *Set) WithBodies(resources []Resource) *Set {
	filled := slices.Clone(s.entries)
	for _, resource := range resources {
		index, found := search(filled, resource.Key)
		if !found || filled[index].Body != nil || !bodyMatches(filled[index].Resource, resource.Body) {
			continue
		}
		resource.Digest = filled[index].Digest
		if fresh, err := newEntry(resource); err == nil {
			filled[index] = fresh
		}
	}
	return &Set{version: s.version, entries: filled}
}

// Diff returns the delta that leads from one set to another.
func Diff(from, to *Set) Delta {
	delta := Delta{From: from.version, To: to.version}
	for _, wanted := range to.entries {
		held, found := from.Lookup(wanted.Key)
		if !found || held.Digest != wanted.Digest || held.Body == nil {
			delta.Put = append(delta.Put, wanted.Resource)
		}
	}
	for _, held := range from.entries {
		if _, found := to.Lookup(held.Key); !found {
			delta.Remove = append(delta.Remove, held.Key)
		}
	}
	return delta
}

// Apply returns the set that the delta leads to. It refuses a delta that starts
// elsewhere, a body that does not match its digest and a result whose digest is
// not that of the version named.
func (s *Set) Apply(delta Delta) (*Set, error) {
	if delta.From != s.version {
		return nil, fault.New(fault.Peer, "pull with the version held", "delta starts at %s, held is %s", delta.From, s.version)
	}
	entries := slices.Clone(s.entries)
	for _, key := range delta.Remove {
		if index, found := search(entries, key); found {
			entries = slices.Delete(entries, index, index+1)
		}
	}
	for _, resource := range delta.Put {
		put, err := newEntry(resource)
		if err != nil {
			return nil, err
		}
		index, found := search(entries, resource.Key)
		if found {
			entries[index] = put
			continue
		}
		entries = slices.Insert(entries, index, put)
	}
	set := newSet(delta.To.Epoch, delta.To.Revision, entries)
	if set.version != delta.To {
		return nil, fault.New(fault.Peer, "pull from another peer", "content has version %s, announced was %s", set.version, delta.To)
	}
	return set, nil
}

// Document puts the declarations together again. Missing bodies are left out.
// Maps and slices within are shared with the set and must not be changed.
func (s *Set) Document() *declaration.Document {
	document := &declaration.Document{Epoch: s.version.Epoch}
	for _, held := range s.entries {
		held.addTo(document)
	}
	return document
}

// Validate returns what is wrong with the declarations, as declaration.Validate
// does. Rules on single items were applied when their bodies came, so that a
// small change to a large set costs little.
func (s *Set) Validate() []declaration.Finding {
	if slices.ContainsFunc(s.entries, func(held entry) bool { return !held.sound }) {
		return declaration.Validate(s.Document())
	}
	return declaration.ValidateRelations(s.Document())
}

// SecretValue returns the value of a secret, and false while it is not held.
func (s *Set) SecretValue(name string) (string, bool) {
	resource, found := s.Lookup(Key{Kind: KindSecret, Name: name})
	if !found || resource.Body == nil {
		return "", false
	}
	var value string
	err := json.Unmarshal(resource.Body, &value)
	return value, err == nil
}

// SecretResource returns a secret's value as a resource to fill a set with.
func SecretResource(name, value string) Resource {
	body, _ := json.Marshal(value) // a string always marshals
	return Resource{Key: Key{Kind: KindSecret, Name: name}, Digest: secretDigest(value), Body: body}
}

// secretDigest is the digest that operators declare: SHA-256 of the bare value.
func secretDigest(value string) string { return hashHex([]byte(value)) }

// bodyMatches checks a body against the digest under which it is named.
func bodyMatches(named Resource, body json.RawMessage) bool {
	if body == nil {
		return false
	}
	if named.Kind != KindSecret {
		return hashHex(body) == named.Digest
	}
	var value string
	if err := json.Unmarshal(body, &value); err != nil {
		return false
	}
	return secretDigest(value) == named.Digest
}

// digestOf hashes the sorted keys and digests. Bodies do not count: a set has
// its version before the secrets' values have come.
func digestOf(entries []entry) string {
	hash := sha256.New()
	var line []byte
	for _, held := range entries {
		line = append(line[:0], held.Kind...)
		line = append(line, 0)
		line = append(line, held.Name...)
		line = append(line, 0)
		line = append(line, held.Digest...)
		line = append(line, '\n')
		hash.Write(line)
	}
	const digestBytes = 16
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

func hashHex(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// String returns kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }
