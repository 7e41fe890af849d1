package wire

import (
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/fault"
	"sliphead/internal/snapshot"
)

// envelopesByKind returns one envelope for each kind of message, by its JSON name.
func envelopesByKind() map[string]Envelope {
	envelopes := make(map[string]Envelope)
	kind := reflect.TypeFor[Envelope]()
	for index := range kind.NumField() {
		field := kind.Field(index)
		if field.Type.Kind() != reflect.Pointer {
			continue
		}
		envelope := Envelope{From: "edappally-1"}
		reflect.ValueOf(&envelope).Elem().Field(index).Set(reflect.New(field.Type.Elem()))
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		envelopes[name] = envelope
	}
	return envelopes
}

func TestEachMessageRoundTrips(t *testing.T) {
	for name, envelope := range envelopesByKind() {
		must.Eq(t, name, envelope.Kind())
		line, err := Encode(envelope)
		must.NoError(t, err)
		must.Eq(t, len(line)-1, strings.IndexByte(string(line), '\n'))
		decoded, err := Decode(line)
		must.NoError(t, err)
		must.Eq(t, envelope, decoded)
	}
}

func TestDecodeRejectsInvalidLines(t *testing.T) {
	for name, line := range map[string]string{
		"nothing":         ``,
		"half":            `{"from":"a","pull":{`,
		"no object":       `[]`,
		"two objects":     `{"from":"a","pull":{}}{"from":"a","pull":{}}`,
		"no sender":       `{"pull":{}}`,
		"long sender":     `{"from":"` + strings.Repeat("a", MaxNameBytes+1) + `","pull":{}}`,
		"no message":      `{"from":"a"}`,
		"null message":    `{"from":"a","pull":null}`,
		"unknown message": `{"from":"a","gift":{}}`,
		"two messages":    `{"from":"a","pull":{},"staged":{}}`,
		"wrong type":      `{"from":"a","pull":{"have":"new"}}`,
		"too long":        `{"from":"a","pull":{}}` + strings.Repeat(" ", MaxLineBytes),
	} {
		_, err := Decode([]byte(line))
		must.Eq(t, fault.Peer, fault.KindOf(err), must.Sprint(name))
	}
}

func TestEncodeRejectsInvalidEnvelopes(t *testing.T) {
	huge := Envelope{From: "a", Resource: &Resource{Resources: []snapshot.Resource{{Digest: strings.Repeat("a", MaxLineBytes)}}}}
	for _, envelope := range []Envelope{{}, {From: "a"}, {From: "a", Pull: &Pull{}, Staged: &Staged{}}, huge} {
		_, err := Encode(envelope)
		must.Error(t, err)
	}
}

func FuzzDecode(f *testing.F) {
	for _, envelope := range envelopesByKind() {
		line, err := Encode(envelope)
		must.NoError(f, err)
		f.Add(line)
	}
	f.Add([]byte(`{"from":"a","pull":{},"staged":{}}`))
	f.Add([]byte(`{"from":"a","push":{"delta":{"put":[{"kind":"zone","name":"z","digest":"","body":{"a":[1e999]}}]}}}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		envelope, err := Decode(line)
		if err != nil {
			must.Eq(t, fault.Peer, fault.KindOf(err))
			return
		}
		again, err := Encode(envelope)
		must.NoError(t, err)
		decoded, err := Decode(again)
		must.NoError(t, err)
		must.Eq(t, envelope.Kind(), decoded.Kind())
	})
}
