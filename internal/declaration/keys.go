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

// labelKeys are the fields whose objects hold labels.
var labelKeys = []string{"labels", "workerlabels", "zonelabels"}

// refuseRepeatedKeys refuses an object that names one field twice. The decoder
// would mix the two values, and it takes fields without regard to case; keys
// of labels are told apart by case. The data must be one valid document.
func refuseRepeatedKeys(data []byte) error {
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
				"field %s is given twice, again before byte %d", quoted(key), walker.decoder.InputOffset())
		}
	}
}

// keyWalker follows the tokens of a document.
type keyWalker struct {
	decoder *json.Decoder
	open    []container
}

// container is an object or array that has not ended.
type container struct {
	isObject bool
	isLabels bool
	wantsKey bool
	key      string // latest key of an object, folded unless it holds labels
	seen     map[string]bool
}

// step takes one token. It returns a key that the object at hand has already.
func (w *keyWalker) step(token json.Token) (key string, repeated bool) {
	if delimiter, isDelimiter := token.(json.Delim); isDelimiter {
		w.delimit(delimiter)
		return "", false
	}
	if len(w.open) == 0 {
		return "", false
	}
	top := &w.open[len(w.open)-1]
	if !top.isObject || !top.wantsKey {
		w.valueEnded()
		return "", false
	}
	return top.take(token.(string))
}

func (w *keyWalker) delimit(delimiter json.Delim) {
	switch delimiter {
	case '{':
		w.open = append(w.open, container{isObject: true, isLabels: w.labelsNext(), wantsKey: true, seen: make(map[string]bool)})
	case '[':
		w.open = append(w.open, container{})
	default:
		w.open = w.open[:len(w.open)-1]
		w.valueEnded()
	}
}

// labelsNext reports whether the value that starts holds labels.
func (w *keyWalker) labelsNext() bool {
	return len(w.open) > 0 && slices.Contains(labelKeys, w.open[len(w.open)-1].key)
}

// valueEnded makes the object at hand expect its next key.
func (w *keyWalker) valueEnded() {
	if len(w.open) > 0 {
		w.open[len(w.open)-1].wantsKey = true
	}
}

func (c *container) take(key string) (string, bool) {
	c.key = key
	if !c.isLabels {
		c.key = strings.ToLower(strings.ToUpper(key)) // as the decoder folds, the long s and the Kelvin sign too
	}
	if c.seen[c.key] {
		return key, true
	}
	c.seen[c.key] = true
	c.wantsKey = false
	return "", false
}
