package proxy_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/proxy"
)

var _ = Describe("The log line of a request without a route", func() {
	// lineOf serves a request and returns the only log line, as text and as fields.
	lineOf := func(board *blackboard.Board, in *proxy.Incoming) (string, map[string]any) {
		p := newProxy("home-1", ordersDocument, memstore.New(), &scriptedSender{runs: map[string]int{}}, &directory{})
		var log bytes.Buffer
		p.Board, p.Log = board, zerolog.New(&log)
		p.Serve(context.Background(), in)
		var fields map[string]any
		Expect(json.Unmarshal(log.Bytes(), &fields)).To(Succeed(), log.String())
		Expect(fields).To(HaveKeyWithValue("message", "request: refused"))
		return log.String(), fields
	}
	configured := func(version uint64) *blackboard.Board {
		board := blackboard.New("home-1", "fes")
		c := &document.Configuration{Version: 1, Services: []*document.Service{document.New("orders")}}
		Expect(board.PutConfiguration(c, version)).To(BeTrue())
		return board
	}
	unrouted := func(host, path string) *proxy.Incoming {
		in := request("GET", "", "x")
		in.Service, in.Host, in.Path = "", host, path
		return in
	}

	// Guards against a 404 whose log line lacks the requested route or the
	// configuration version.
	It("contains the host, the path and the configuration version", func() {
		_, line := lineOf(configured(72), unrouted("stelae.example", "/new/route"))
		Expect(line).To(HaveKeyWithValue("status", 404.0))
		Expect(line).To(HaveKeyWithValue("host", "stelae.example"))
		Expect(line).To(HaveKeyWithValue("path", "/new/route"))
		Expect(line).To(HaveKeyWithValue("configuration", 72.0))
	})

	It("contains the newest document version and the requested service", func() {
		board := blackboard.New("home-1", "fes")
		for version, name := range map[uint64]string{7: "orders", 9: "bookings", 8: "reads"} {
			Expect(board.PutDocument(document.New(name), version, nil)).To(BeTrue())
		}
		in := unrouted("", "/x")
		in.Service = "none"
		_, line := lineOf(board, in)
		Expect(line).To(HaveKeyWithValue("asked_service", "none"))
		Expect(line).To(HaveKeyWithValue("configuration", 9.0))
	})

	// Guards against callers that fill the log with long or escaped values.
	It("has a limited length", func() {
		long := strings.Repeat("\x00", 60_000)
		in := unrouted("h"+long, "/"+long)
		in.Service = "s" + long
		text, line := lineOf(configured(72), in)
		const bound = 260
		for _, field := range []string{"host", "path", "asked_service"} {
			Expect(len(line[field].(string))).To(BeNumerically("<", bound), field)
		}
		// A control character takes six bytes in JSON.
		Expect(len(text)).To(BeNumerically("<", 3*6*bound+1000))
	})
})
