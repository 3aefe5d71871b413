// Package design describes the HTTP interface for callers. `go generate` in callerhttp writes gen from it.
package design

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("callers", func() {
	Title("dogwooddrift, callers' interface")
	Server("entry", func() {
		Host("local", func() { URI("http://127.0.0.1:8080") })
	})
})

var _ = Service("query_tier", func() {
	Description("Queries over all shards of a service, and changes at one target.")
	for _, r := range refusals {
		Error(r.name, Refusal)
	}

	Method("query", func() {
		Description("Sends a query to every shard of one index snapshot.")
		Payload(func() {
			Attribute("service", String, "Name of the service")
			Attribute("key", String, "Bearer token of the organisation: \"Bearer KEY\"")
			Attribute("timeout_ms", Int64, "Time that the caller waits, in milliseconds", func() {
				Minimum(1)
				Maximum(60000)
				Default(1000)
			})
			Attribute("query", String, "Text of the query", func() { MaxLength(65536) })
			Required("service", "query")
		})
		Result(QueryAnswer)
		HTTP(func() {
			POST("/v1/services/{service}/query")
			Header("key:Authorization")
			Header("timeout_ms:Drift-Timeout-Ms")
			Body(func() {
				Attribute("query")
				Required("query")
			})
			Response(StatusOK)
			refusedResponses()
		})
	})

	Method("change", func() {
		Description("Sends a non-idempotent request to one target, at most once.")
		Payload(func() {
			Attribute("service", String, "Name of the service")
			Attribute("key", String, "Bearer token of the organisation: \"Bearer KEY\"")
			Attribute("timeout_ms", Int64, "Time that the caller waits, in milliseconds", func() {
				Minimum(1)
				Maximum(60000)
				Default(1000)
			})
			Attribute("idempotency_key", String, "Chosen by the caller; the same for each repeat", func() {
				MinLength(1)
				MaxLength(256)
			})
			Attribute("change", String, "Text of the change", func() { MaxLength(65536) })
			Required("service", "idempotency_key", "change")
		})
		Result(ChangeOutcome)
		HTTP(func() {
			POST("/v1/services/{service}/changes")
			Header("key:Authorization")
			Header("timeout_ms:Drift-Timeout-Ms")
			Header("idempotency_key:Idempotency-Key")
			Body(func() {
				Attribute("change")
				Required("change")
			})
			Response(StatusOK)
			refusedResponses()
		})
	})

	Method("ready", func() {
		Description("Answers 200 while the instance takes new work.")
		Error("unready")
		HTTP(func() {
			GET("/ready")
			Response(StatusOK)
			Response("unready", StatusServiceUnavailable)
		})
	})
})

// refusals maps the groups of refusal codes to HTTP statuses.
var refusals = []struct {
	name   string
	status int
}{
	{"invalid", StatusBadRequest},
	{"unauthorized", StatusUnauthorized},
	{"forbidden", StatusForbidden},
	{"unknown", StatusNotFound},
	{"conflict", StatusConflict},
	{"rate_limited", StatusTooManyRequests},
	{"unavailable", StatusServiceUnavailable},
	{"late", StatusGatewayTimeout},
	{"failed", StatusInternalServerError},
}

func refusedResponses() {
	for _, r := range refusals {
		Response(r.name, r.status, func() { Header("retry_after:Retry-After") })
	}
}

// Refusal is the body of every request that got no answer.
var Refusal = Type("RefusalBody", func() {
	ErrorName("name", String, "Name of the error", func() { Meta("struct:field:name", "Name") })
	Attribute("code", String, "Stable code of the reason")
	Attribute("ran", String, "Whether the request ran at a target", func() { Enum("no", "unknown") })
	Attribute("message", String, "Explanation for people")
	Attribute("retry_after_ms", Int64, "When to try again, in milliseconds; 0 when a repeat cannot help")
	Attribute("retry_after", Int64, "retry_after_ms in whole seconds, rounded up")
	Required("name", "code", "ran", "message", "retry_after_ms")
})

// QueryAnswer is the answer to a query.
var QueryAnswer = Type("QueryAnswer", func() {
	Attribute("request_id", String)
	Attribute("snapshot", UInt64, "The one index snapshot of all results")
	Attribute("coverage", Coverage)
	Attribute("results", ArrayOf(ShardResult))
	Required("request_id", "snapshot", "coverage", "results")
})

// Coverage says how much of the snapshot the answer covers.
var Coverage = Type("Coverage", func() {
	Attribute("answered", Int, "Shards with a result")
	Attribute("total", Int, "Shards of the snapshot")
	Attribute("missing", ArrayOf(MissingShard))
	Required("answered", "total", "missing")
})

// MissingShard is a shard without a result.
var MissingShard = Type("MissingShard", func() {
	Attribute("shard", String)
	Attribute("reason", String)
	Required("shard", "reason")
})

// ShardResult is the result of one shard.
var ShardResult = Type("ShardResult", func() {
	Attribute("shard", String)
	Attribute("result", String)
	Required("shard", "result")
})

// ChangeOutcome is the outcome of a change that ran.
var ChangeOutcome = Type("ChangeOutcome", func() {
	Attribute("request_id", String)
	Attribute("outcome", String)
	Required("request_id", "outcome")
})
