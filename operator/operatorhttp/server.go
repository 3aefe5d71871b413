// Package operatorhttp serves operators over HTTP: the state dump, health and metrics.
package operatorhttp

//go:generate goa gen dogwooddrift.org/drift/operator/operatorhttp/design

import (
	"context"
	"net/http"

	goahttp "goa.design/goa/v3/http"

	"dogwooddrift.org/drift/operator"
	"dogwooddrift.org/drift/operator/operatorhttp/gen/admin"
	"dogwooddrift.org/drift/operator/operatorhttp/gen/http/admin/server"
)

// Instance provides the data of the process that the server publishes.
type Instance interface {
	// Dump returns the control state, or an error if the control goroutine does not answer.
	Dump(ctx context.Context) (operator.Dump, error)
	// Metrics returns the metrics in the Prometheus text format.
	Metrics() ([]byte, error)
}

// NewHandler returns the HTTP handler of the operators' interface.
func NewHandler(instance Instance) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := admin.NewEndpoints(&service{instance: instance})
	server.Mount(mux, server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	return mux
}

type service struct{ instance Instance }

func (s *service) Dump(ctx context.Context) (any, error) {
	dump, err := s.instance.Dump(ctx)
	if err != nil {
		return nil, err
	}
	return dump, nil
}

// Health checks that the control goroutine answers.
func (s *service) Health(ctx context.Context) error {
	if _, err := s.instance.Dump(ctx); err != nil {
		return admin.MakeUnhealthy(err)
	}
	return nil
}

func (s *service) Metrics(context.Context) ([]byte, error) { return s.instance.Metrics() }
