// Package snapshot represents a configuration version as an immutable set of resources,
// differences between sets, and the view that traffic reads: routes with their endpoints,
// resolved for a given time. It uses no sockets.
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

// Set is one configuration version: all resources that it names, with the bodies received so
// far. It is immutable and safe for concurrent use.
type Set struct {
	version version.Version
	entries []entry // sorted by key
}

// Empty returns a set without resources.
func Empty() *Set { return &Set{} }

// Build splits a document into resources. The bodies of secrets are missing if their values are
// not given or do not match the declared digest.
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

// newSet computes the version's digest from sorted entries.
func newSet(epoch, revision uint64, entries []entry) *Set {
	return &Set{
		version: version.Version{Epoch: epoch, Revision: revision, Digest: digestOf(entries)},
		entries: entries,
	}
}

// Version returns the version of the set.
func (s *Set) Version() version.Version { return s.version }

// Len returns the number of resources, including those with a missing body.
func (s *Set) Len() int { return len(s.entries) }

// Missing returns the keys of the resources with a missing body, sorted.
func (s *Set) Missing() []Key {
	var missing []Key
	for _, existing := range s.entries {
		if existing.Body == nil {
			missing = append(missing, existing.Key)
		}
	}
	return missing
}

// Complete reports whether no body is missing.
func (s *Set) Complete() bool {
	return !slices.ContainsFunc(s.entries, func(existing entry) bool { return existing.Body == nil })
}

// Lookup returns a resource by its key, and false if the set does not contain it. The body may
// be nil.
func (s *Set) Lookup(key Key) (Resource, bool) {
	index, found := search(s.entries, key)
	if !found {
		return Resource{}, false
	}
	return s.entries[index].Resource, true
}

// WithBodies returns a set with missing bodies filled in from resources. It ignores resources
// that are not in the set or whose bodies do not match the digest in the set.
func (s *Set) WithBodies(resources []Resource) *Set {
	filled := slices.Clone(s.entries)
	for _, resource := range resources {
		index, found := search(filled, resource.Key)
		if !found || filled[index].Body != nil || !bodyMatches(filled[index].Resource, resource.Body) {
			continue
		}
		resource.Digest = filled[index].Digest
		if created, err := newEntry(resource); err == nil {
			filled[index] = created
		}
	}
	return &Set{version: s.version, entries: filled}
}

// Diff returns the delta between two sets.
func Diff(from, to *Set) Delta {
	delta := Delta{From: from.version, To: to.version}
	for _, wanted := range to.entries {
		existing, found := from.Lookup(wanted.Key)
		if !found || existing.Digest != wanted.Digest || existing.Body == nil {
			delta.Put = append(delta.Put, wanted.Resource)
		}
	}
	for _, existing := range from.entries {
		if _, found := to.Lookup(existing.Key); !found {
			delta.Remove = append(delta.Remove, existing.Key)
		}
	}
	return delta
}

// Apply returns the set that results from a delta. It returns an error if the delta starts from
// another version, if a body does not match its digest, or if the resulting version differs
// from the announced one.
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

// Document returns the declarations of the set as a document. Items with a missing body are
// left out, except for secrets, whose declarations need no body. Maps and slices in it are
// shared with the set and must not be changed.
func (s *Set) Document() *declaration.Document {
	document := &declaration.Document{Epoch: s.version.Epoch}
	for _, existing := range s.entries {
		existing.addTo(document)
	}
	return document
}

// Validate returns the findings of declaration.Validate for the set. The rules for single items
// were checked when their bodies were added, so that a small change to a large set is cheap to
// validate.
func (s *Set) Validate() []declaration.Finding {
	if slices.ContainsFunc(s.entries, func(existing entry) bool { return !existing.valid }) {
		return declaration.Validate(s.Document())
	}
	return declaration.ValidateRelations(s.Document())
}

// SecretValue returns the value of a secret, and false while it is missing.
func (s *Set) SecretValue(name string) (string, bool) {
	resource, found := s.Lookup(Key{Kind: KindSecret, Name: name})
	if !found || resource.Body == nil {
		return "", false
	}
	var value string
	err := json.Unmarshal(resource.Body, &value)
	return value, err == nil
}

// SecretResource returns a resource with the value of a secret, for use with Set.WithBodies.
func SecretResource(name, value string) Resource {
	body, _ := json.Marshal(value) // a string always marshals
	return Resource{Key: Key{Kind: KindSecret, Name: name}, Digest: secretDigest(value), Body: body}
}

// secretDigest returns the digest that operators declare: SHA-256 of the value itself.
func secretDigest(value string) string { return hashHex([]byte(value)) }

// bodyMatches reports whether a body matches the digest of the resource.
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

// digestOf hashes the sorted keys and digests. Bodies are not included, so that a set has its
// version before the values of its secrets arrive.
func digestOf(entries []entry) string {
	hash := sha256.New()
	var line []byte
	for _, existing := range entries {
		line = append(line[:0], existing.Kind...)
		line = append(line, 0)
		line = append(line, existing.Name...)
		line = append(line, 0)
		line = append(line, existing.Digest...)
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
