package main

import (
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/goccy/go-yaml"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/lab/source"
	"sliphead/lab/worker"
)

// drainTimeout is how long a worker waits after a signal for its requests in
// flight. The stand-in source also uses it as its timeout for request headers.
const drainTimeout = 10 * time.Second

// workerCommand runs one stand-in worker.
type workerCommand struct {
	worker.Settings
}

// Run implements the command.
func (c *workerCommand) Run(ctx context.Context, logger log.Interface) error {
	started, err := worker.Start(c.Settings)
	if err != nil {
		return err
	}
	logger.WithFields(log.Fields{"event": "worker.started", "worker": c.Name, "address": started.Address()}).Info("")
	<-ctx.Done()
	bounded, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	started.Stop(bounded)
	return nil
}

// sourceCommand runs a stand-in configuration service.
type sourceCommand struct {
	Listen   string   `help:"Address to listen on, IP:port." default:"127.0.0.1:9000"`
	Document string   `help:"Declarations as one YAML or JSON document; read again when the file changes." required:"" type:"existingfile"`
	Secrets  []string `help:"Secrets to serve, as name=value."`
}

// reloadInterval is the time between two checks of the document file.
const reloadInterval = time.Second

// Run implements the command.
func (c *sourceCommand) Run(ctx context.Context, logger log.Interface) error {
	service := source.New()
	for _, pair := range c.Secrets {
		name, value, _ := strings.Cut(pair, "=")
		service.SetSecret(name, value)
	}
	if err := c.publish(service, logger); err != nil {
		return err
	}
	server := &http.Server{Addr: c.Listen, Handler: service, ReadHeaderTimeout: drainTimeout}
	go c.reload(ctx, service, logger)
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	err := server.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return fault.Wrap(err, fault.Settings, "choose a free address", "listen on %s", c.Listen)
}

func (c *sourceCommand) publish(service *source.Service, logger log.Interface) error {
	const remedy = "correct the document"
	data, err := os.ReadFile(c.Document)
	if err != nil {
		return fault.Wrap(err, fault.Settings, remedy, "read %s", c.Document)
	}
	var document declaration.Document
	if err := yaml.UnmarshalWithOptions(data, &document, yaml.Strict()); err != nil {
		return fault.Wrap(err, fault.Declaration, remedy, "parse %s", c.Document)
	}
	revision, err := service.Publish(&document)
	logger.WithFields(log.Fields{"event": "configuration.published", "revision": revision}).Info("")
	return err
}

// reload polls the document file and publishes the document whenever the file has changed.
func (c *sourceCommand) reload(ctx context.Context, service *source.Service, logger log.Interface) {
	var lastModified time.Time
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		if changed := modificationTime(c.Document); !lastModified.IsZero() && changed.After(lastModified) {
			if err := c.publish(service, logger); err != nil {
				logger.WithFields(log.Fields{"event": "configuration.refused", "error": err.Error()}).Error("")
			}
		}
		lastModified = modificationTime(c.Document)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func modificationTime(path string) time.Time {
	information, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return information.ModTime()
}
