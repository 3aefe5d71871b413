// Package design describes the HTTP interface for operators. `go generate` in operatorhttp writes gen from it.
package design

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("operators", func() {
	Title("dogwooddrift, operators' interface")
	Server("operators", func() {
		Host("local", func() { URI("http://127.0.0.1:8081") })
	})
})

var _ = Service("admin", func() {
	Description("State, health and metrics of one instance.")

	Method("dump", func() {
		Description("The control state as JSON. Keys appear only as short hashes.")
		Result(Any)
		HTTP(func() { GET("/dump") })
	})

	Method("health", func() {
		Description("Answers 200 while the control goroutine answers.")
		Error("unhealthy")
		HTTP(func() {
			GET("/healthz")
			Response(StatusOK)
			Response("unhealthy", StatusServiceUnavailable)
		})
	})

	Method("metrics", func() {
		Description("Metrics in the Prometheus text format.")
		Result(Bytes)
		HTTP(func() {
			GET("/metrics")
			Response(StatusOK, func() { ContentType("text/plain; version=0.0.4") })
		})
	})
})
