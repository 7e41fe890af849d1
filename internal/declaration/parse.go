package declaration

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"sliphead/internal/fault"
)

// MaxDocumentBytes bounds an encoded document.
const MaxDocumentBytes = 8 << 20

const (
	remedyTooLong = "split the mesh or drop what is not used"
	remedyJSON    = "serve one whole JSON document of declarations"
)

// maxShownFindings bounds how many findings one error spells out.
const maxShownFindings = 3

// Parse decodes one document from JSON and validates it. It refuses documents
// over MaxDocumentBytes, unknown and repeated fields, anything after the document, and
// whatever Validate finds. The errors are of kind fault.Declaration.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, fault.New(fault.Declaration, remedyTooLong,
			"document has %d bytes, the bound is %d", len(data), MaxDocumentBytes)
	}
	document, err := decode(data)
	if err != nil {
		return nil, err
	}
	if err := refuseRepeatedKeys(data); err != nil {
		return nil, err
	}
	if err := FindingsError(Validate(document)); err != nil {
		return nil, err
	}
	return document, nil
}

func decode(data []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	document := new(Document)
	if err := decoder.Decode(document); err != nil {
		return nil, fault.Wrap(err, fault.Declaration, remedyJSON, "decode the document")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fault.New(fault.Declaration, "serve one JSON document and nothing after it",
			"the document ends at byte %d of %d", decoder.InputOffset(), len(data))
	}
	return document, nil
}

// FindingsError returns one error for all findings, nil for none.
func FindingsError(findings []Finding) error {
	if len(findings) == 0 {
		return nil
	}
	shown := findings[:min(len(findings), maxShownFindings)]
	texts := make([]string, 0, len(shown))
	for _, finding := range shown {
		texts = append(texts, finding.String())
	}
	return fault.New(fault.Declaration, "run sliphead check on the declarations, mend each finding and publish again",
		"findings: %d, first %s", len(findings), strings.Join(texts, "; "))
}
