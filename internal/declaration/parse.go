package declaration

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"sliphead/internal/fault"
)

// MaxDocumentBytes is the maximum size of a document encoded as JSON.
const MaxDocumentBytes = 8 << 20

const (
	remedyTooLong = "split the mesh or remove unused declarations"
	remedyJSON    = "serve one complete JSON document of declarations"
)

// maxShownFindings is the maximum number of findings in the text of one error.
const maxShownFindings = 3

// Parse decodes one document from JSON and validates it. It rejects documents
// over MaxDocumentBytes, unknown or duplicate fields, data after the document, and
// documents with findings of Validate. Its errors are of kind fault.Declaration.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, fault.New(fault.Declaration, remedyTooLong,
			"document has %d bytes, the maximum is %d", len(data), MaxDocumentBytes)
	}
	document, err := decode(data)
	if err != nil {
		return nil, err
	}
	if err := rejectDuplicateKeys(data); err != nil {
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

// FindingsError returns one error of kind fault.Declaration for all findings, or
// nil when there are none. Its text contains at most maxShownFindings findings.
func FindingsError(findings []Finding) error {
	if len(findings) == 0 {
		return nil
	}
	shown := findings[:min(len(findings), maxShownFindings)]
	texts := make([]string, 0, len(shown))
	for _, finding := range shown {
		texts = append(texts, finding.String())
	}
	return fault.New(fault.Declaration, "run sliphead check on the declarations, fix each finding and publish again",
		"findings: %d, first %s", len(findings), strings.Join(texts, "; "))
}
