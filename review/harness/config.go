package harness

// Route is a route of the operator's configuration.
type Route struct {
	Name, Host, Prefix, Type, Service string
	TimeoutMs, AimMs, Priority        int
	Attempts                          int
}

// Config returns the operator's configuration. The limits are those of the pages.
func Config(version int, routes []Route, services []string) map[string]any {
	rows := [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{r.Name, r.Host, r.Prefix, r.Type, r.TimeoutMs, r.AimMs, r.Priority, nil, r.Attempts, r.Service})
	}
	serviceRows := [][]any{}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/healthz", 330, "h1", false})
	}
	return map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "path_prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "backends", "max_attempts", "service"},
			"rows":    rows,
		},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "protocol", "tls"}, "rows": serviceRows},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
