package source

import (
	"net/http"
	"strconv"
)

// Mode is a kind of failure that the source simulates.
type Mode string

// The modes of the source.
const (
	ModeHealthy   Mode = ""
	ModeDown      Mode = "down"      // closes connections without a response
	ModeError     Mode = "500"       // responds with status 500
	ModeHTML      Mode = "html"      // responds with status 200 and an HTML page
	ModeHalf      Mode = "half"      // closes the connection after half of the body
	ModeHang      Mode = "hang"      // sends no response; closes the connection when the mode changes
	ModeOversized Mode = "oversized" // responds with a body of oversizedBytes
)

// oversizedBytes is the size of the body under ModeOversized, meant to exceed every
// limit of a reader.
const oversizedBytes = 256 << 20

// Valid reports whether m is one of the modes above.
func (m Mode) Valid() bool {
	switch m {
	case ModeHealthy, ModeDown, ModeError, ModeHTML, ModeHalf, ModeHang, ModeOversized:
		return true
	}
	return false
}

// simulateFailure responds to the request as the current mode requires. It returns
// false if the request is to be served, under ModeHealthy and ModeHalf.
func (s *Service) simulateFailure(writer http.ResponseWriter, request *http.Request) bool {
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
		return false // writeJSON implements ModeHalf
	}
	return true
}

// hang waits until the reader disconnects or the mode changes.
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

// writeJSON writes a JSON body. Under ModeHalf it writes half of it and closes the connection.
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
