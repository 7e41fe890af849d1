package declaration

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"

	"sliphead/internal/fault"
)

// labelKeys are the lower-case names of the fields whose values are labels.
var labelKeys = []string{"labels", "workerlabels", "zonelabels"}

// rejectDuplicateKeys returns an error if an object contains a field twice: the
// JSON decoder would merge the two values. Field names are compared without regard
// to case, as the decoder matches them; label keys are case-sensitive. The data
// must be one valid JSON document.
func rejectDuplicateKeys(data []byte) error {
	walker := &keyWalker{decoder: json.NewDecoder(bytes.NewReader(data))}
	for {
		token, err := walker.decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.Declaration, remedyJSON, "decode the document")
		}
		if key, repeated := walker.step(token); repeated {
			return fault.New(fault.Declaration, "keep one of the two",
				"field %s is given twice, the second time before byte %d", quoted(key), walker.decoder.InputOffset())
		}
	}
}

// keyWalker detects duplicate keys in the token stream of a JSON document.
type keyWalker struct {
	decoder    *json.Decoder
	containers []container // containers that enclose the current token, outermost first
}

// container is an object or array whose end has not been read yet.
type container struct {
	isObject bool
	isLabels bool
	wantsKey bool   // whether the next token of an object is a key
	key      string // latest key of an object, case-folded unless the object holds labels
	seen     map[string]bool
}

// step processes one token. It returns the key when the innermost object already
// contains it.
func (w *keyWalker) step(token json.Token) (key string, repeated bool) {
	if delimiter, isDelimiter := token.(json.Delim); isDelimiter {
		w.handleDelimiter(delimiter)
		return "", false
	}
	if len(w.containers) == 0 {
		return "", false
	}
	top := &w.containers[len(w.containers)-1]
	if !top.isObject || !top.wantsKey {
		w.endValue()
		return "", false
	}
	return top.addKey(token.(string))
}

func (w *keyWalker) handleDelimiter(delimiter json.Delim) {
	switch delimiter {
	case '{':
		w.containers = append(w.containers, container{isObject: true, isLabels: w.nextIsLabels(), wantsKey: true, seen: make(map[string]bool)})
	case '[':
		w.containers = append(w.containers, container{})
	default:
		w.containers = w.containers[:len(w.containers)-1]
		w.endValue()
	}
}

// nextIsLabels reports whether the value that starts now belongs to a label field.
func (w *keyWalker) nextIsLabels() bool {
	return len(w.containers) > 0 && slices.Contains(labelKeys, w.containers[len(w.containers)-1].key)
}

// endValue records that a value is complete and its object expects the next key.
func (w *keyWalker) endValue() {
	if len(w.containers) > 0 {
		w.containers[len(w.containers)-1].wantsKey = true
	}
}

// addKey adds a key to an object. It returns the key and true if it is a duplicate.
func (c *container) addKey(key string) (string, bool) {
	c.key = key
	if !c.isLabels {
		c.key = strings.ToLower(strings.ToUpper(key)) // folds as encoding/json does, including the long s and the Kelvin sign
	}
	if c.seen[c.key] {
		return key, true
	}
	c.seen[c.key] = true
	c.wantsKey = false
	return "", false
}
