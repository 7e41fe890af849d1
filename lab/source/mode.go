package source

import (
	"net/http"
	"strconv"
)

// Mode is a way in which the source fails.
type Mode string

// The ways in which the source fails.
const (
	ModeHealthy   Mode = ""
	ModeDown      Mode = "down"      // connections are cut without an answer
	ModeError     Mode = "500"       // answers status 500
	ModeHTML      Mode = "html"      // answers status 200 with an HTML page
	ModeHalf      Mode = "half"      // cuts the connection after half a document
	ModeHang      Mode = "hang"      // never answers
	ModeOversized Mode = "oversized" // answers with an endless document
)

// oversizedBytes is where the endless document does end.
const oversizedBytes = 256 << 20

// Valid reports whether the mode is known.
func (m Mode) Valid() bool {
	switch m {
	case ModeHealthy, ModeDown, ModeError, ModeHTML, ModeHalf, ModeHang, ModeOversized:
		return true
	}
	return false
}

// misbehave answers the request in the way of the current mode and reports
// whether it did.
func (s *Service) misbehave(writer http.ResponseWriter, request *http.Request) bool {
	s.mutex.Lock()
	mode := s.mode
	s.mutex.Unlock()
	switch mode {
	case ModeDown:
		panic(http.ErrAbortHandler)
	case ModeError:
		http.Error(writer, "internal error", http.StatusInternalServerError)
	case ModeHTML:
		writer.Header().Set("Content-Type", "text/html")
		_, _ = writer.Write([]byte("<html><body>Please sign in</body></html>"))
	case ModeHang:
		s.hang(request)
		panic(http.ErrAbortHandler)
	case ModeOversized:
		writeOversized(writer)
	default:
		return false // half a document is cut in writeJSON
	}
	return true
}

// hang waits until the reader leaves or the mode changes.
func (s *Service) hang(request *http.Request) {
	for {
		s.mutex.Lock()
		mode, changed := s.mode, s.changed
		s.mutex.Unlock()
		if mode != ModeHang {
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		}
	}
}

func writeOversized(writer http.ResponseWriter) {
	block := make([]byte, 1<<16)
	for index := range block {
		block[index] = ' '
	}
	for written := 0; written < oversizedBytes; written += len(block) {
		if _, err := writer.Write(block); err != nil {
			return
		}
	}
}

// writeJSON writes a body, or half of it and a cut connection.
func (s *Service) writeJSON(writer http.ResponseWriter, body []byte) {
	s.mutex.Lock()
	half := s.mode == ModeHalf
	s.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !half {
		_, _ = writer.Write(body)
		return
	}
	_, _ = writer.Write(body[:len(body)/2])
	if flusher, ok := writer.(http.Flusher); ok {
		flusher.Flush()
	}
	panic(http.ErrAbortHandler)
}
