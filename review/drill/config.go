package main

import "fmt"

// routeSpec is a route of a configuration.
type routeSpec struct {
	name, path, kind, service string
	timeoutMs                 int
}

// host is the host of all routes.
const host = "jepu9.example"

// configText returns the operator's configuration with the given routes and services.
func configText(version int, routes []routeSpec, services ...string) string {
	routeRows, serviceRows := "", ""
	for i, r := range routes {
		if i > 0 {
			routeRows += ","
		}
		routeRows += fmt.Sprintf(`[%q,%q,%q,%q,%d,2000,2,null,2,%q]`, r.name, host, r.path, r.kind, r.timeoutMs, r.service)
	}
	for i, s := range services {
		if i > 0 {
			serviceRows += ","
		}
		serviceRows += fmt.Sprintf(`[%q,"/healthz",330,"h1",false]`, s)
	}
	return fmt.Sprintf(`{"version":%d,"routes":{"columns":["name","host","path_prefix","route_type","timeout_ms","target_latency_ms",`+
		`"priority","backends","max_attempts","service"],"rows":[%s]},"services":{"columns":["name","health_path","max_connections",`+
		`"protocol","tls"],"rows":[%s]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, routeRows, serviceRows)
}
