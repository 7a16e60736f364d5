//go:build tools

// Package tools pins the modules that the packages under construction need.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cloudwego/hertz/pkg/app/client"
	_ "github.com/cloudwego/hertz/pkg/app/server"
	_ "github.com/cloudwego/hertz/pkg/common/ut"
	_ "github.com/cockroachdb/errors"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/panjf2000/ants/v2"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/quic-go/quic-go"
	_ "github.com/rs/zerolog"
	_ "github.com/spf13/cobra"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
