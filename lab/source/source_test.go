package source

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
)

func serve(t *testing.T) (*Service, func(path, tag string) (*http.Response, []byte, error)) {
	t.Helper()
	service := New()
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, func(path, tag string) (*http.Response, []byte, error) {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL+path, nil)
		must.NoError(t, err)
		request.Header.Set("If-None-Match", tag)
		response, err := server.Client().Do(request)
		if err != nil {
			return nil, nil, err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return response, body, err
	}
}

func TestLongPollRespondsToAPublication(t *testing.T) {
	service, get := serve(t)
	_, err := service.Publish(&declaration.Document{Epoch: 1})
	must.NoError(t, err)
	first, _, err := get(PathConfiguration, "")
	must.NoError(t, err)
	tag := first.Header.Get("ETag")
	unchanged, _, err := get(PathConfiguration, tag)
	must.NoError(t, err)
	must.Eq(t, http.StatusNotModified, unchanged.StatusCode)

	polled := make(chan Configuration)
	go func() {
		var served Configuration
		_, body, _ := get(PathConfiguration+"?wait=60", tag)
		_ = json.Unmarshal(body, &served)
		polled <- served
	}()
	_, err = service.Publish(&declaration.Document{Epoch: 2})
	must.NoError(t, err)
	must.Eq(t, 2, (<-polled).Revision)
	must.Eq(t, 3, service.Counts().Requests)
	must.SliceLen(t, 1, service.Counts().Readers)
}

func TestSecretIsServedUntilItsRemoval(t *testing.T) {
	service, get := serve(t)
	service.SetSecret("till", "value")
	_, body, err := get(PathSecrets+"till", "")
	must.NoError(t, err)
	must.Eq(t, `{"value":"value"}`, string(body))
	service.SetSecret("till", "")
	response, _, err := get(PathSecrets+"till", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusNotFound, response.StatusCode)
}

func TestPinnedRevisionIsServedUntilUnpinned(t *testing.T) {
	service, get := serve(t)
	for epoch := range uint64(3) {
		_, err := service.Publish(&declaration.Document{Epoch: epoch})
		must.NoError(t, err)
	}
	revisionNow := func() uint64 {
		var served Configuration
		_, body, err := get(PathConfiguration, "")
		must.NoError(t, err)
		must.NoError(t, json.Unmarshal(body, &served))
		return served.Revision
	}
	must.NoError(t, service.PinRevision(1))
	must.Eq(t, 1, revisionNow())
	service.UnpinRevision()
	must.Eq(t, 3, revisionNow())
	must.ErrorContains(t, service.PinRevision(9), "never published")
}

func TestEachModeSimulatesItsFailure(t *testing.T) {
	service, get := serve(t)
	_, err := service.Publish(&declaration.Document{Epoch: 1})
	must.NoError(t, err)

	service.SetMode(ModeDown)
	_, _, err = get(PathConfiguration, "")
	must.Error(t, err)
	service.SetMode(ModeHalf)
	_, _, err = get(PathConfiguration, "")
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	service.SetMode(ModeError)
	response, _, err := get(PathConfiguration, "")
	must.NoError(t, err)
	must.Eq(t, http.StatusInternalServerError, response.StatusCode)
	service.SetMode(ModeHTML)
	response, body, err := get(PathConfiguration, "")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.False(t, json.Valid(body))

	service.SetMode(ModeHang)
	ended := make(chan error)
	go func() {
		_, _, err := get(PathConfiguration, "")
		ended <- err
	}()
	service.SetMode(ModeHealthy)
	<-ended
}
