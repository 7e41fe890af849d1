package traffic

import (
	"bufio"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"sliphead/internal/fault"
)

// writeRequest writes the header of the request to the next hop. It flushes the header if the
// body waits for 100 Continue.
func writeRequest(writer *bufio.Writer, x *exchange, to *hop) error {
	if err := to.validate(); err != nil {
		return err
	}
	writeStrings(writer, x.request.Method, " ", x.request.URL.RequestURI(), " HTTP/1.1\r\nHost: ", x.request.Host, "\r\n")
	if to.expectsContinue(x) {
		writeStrings(writer, "Expect: 100-continue\r\n")
	}
	writeEndToEnd(writer, x.request.Header, to)
	for _, each := range to.fields {
		writeStrings(writer, each.name, ": ", each.value, "\r\n")
	}
	switch {
	case x.body.length < 0:
		writeStrings(writer, "Transfer-Encoding: chunked\r\n")
	case x.body.present || expectsBody(x.request.Method):
		length := strconv.AppendInt(writer.AvailableBuffer(), x.body.length, 10)
		writeStrings(writer, "Content-Length: ", string(length), "\r\n")
	}
	writeStrings(writer, "\r\n")
	if to.expectsContinue(x) {
		return writer.Flush()
	}
	return nil
}

// expectsContinue reports whether the request is first sent without its body, which waits for
// 100 Continue.
func (h *hop) expectsContinue(x *exchange) bool { return h.expectBuffered && x.body.length != 0 }

func writeStrings(writer *bufio.Writer, texts ...string) {
	for _, text := range texts {
		_, _ = writer.WriteString(text) // Flush returns its error
	}
}

// expectsBody reports whether a request of this method carries Content-Length even without a
// body.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// validate rejects header values that contain a line break or a NUL byte.
func (h *hop) validate() error {
	for _, each := range h.fields {
		if strings.ContainsAny(each.value, "\r\n\x00") {
			return fault.New(fault.Settings, "correct the credential, it holds a line end", "the value of header %s contains a line break or a NUL byte", each.name)
		}
	}
	return nil
}

// writeEndToEnd writes the headers that copyEndToEnd would copy, without those that the hop
// sets.
func writeEndToEnd(writer *bufio.Writer, header http.Header, to *hop) {
	connection := header["Connection"]
	for name, values := range header {
		if passed := endToEnd(name) && !to.sets(name) && !listed(connection, name); !passed {
			continue
		}
		for _, value := range values {
			writeStrings(writer, name, ": ", value, "\r\n")
		}
	}
}

// endToEnd reports whether a request header is forwarded.
func endToEnd(name string) bool {
	return !strings.HasPrefix(name, internalPrefix) && name != "Content-Length" && name != "Host" && !slices.Contains(hopByHop, name)
}

// listed reports whether the Connection headers list a header.
func listed(connection []string, name string) bool {
	for _, list := range connection {
		for each := range strings.SplitSeq(list, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(each)) == name {
				return true
			}
		}
	}
	return false
}
