package httphead_test

import (
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"shallotglade/internal/netconn"
)

// BenchmarkRequestHead compares reading a head with and without its check.
func BenchmarkRequestHead(b *testing.B) {
	const usual = "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Request: 9c41d07be2a35f68\r\nX-Deadline: 8000\r\nAccept: */*\r\n\r\n"
	long := strings.Replace(usual, "Accept", "X-Long: "+strings.Repeat("0123456789abcdef", 1000)+"\r\nAccept", 1)
	many := strings.Replace(usual, "Accept", strings.Repeat("X-Field: value\r\n", 1000)+"Accept", 1)
	for _, head := range []struct{ name, text string }{{"usual", usual}, {"long", long}, {"many", many}} {
		for _, reader := range []struct {
			name string
			read func(*protocol.RequestHeader, *netconn.Conn) error
		}{
			{"library", func(h *protocol.RequestHeader, c *netconn.Conn) error { return req.ReadHeader(h, c) }},
			{"checked", func(h *protocol.RequestHeader, c *netconn.Conn) error { return c.ReadRequestHead(h, 64<<10) }},
		} {
			b.Run(head.name+"/"+reader.name, func(b *testing.B) {
				text := strings.NewReader(head.text)
				conn, err := netconn.Wrap(textConn{text: text})
				if err != nil {
					b.Fatal(err)
				}
				var h protocol.RequestHeader
				b.ReportAllocs()
				for range b.N {
					text.Reset(head.text)
					if err := reader.read(&h, conn); err != nil {
						b.Fatal(err)
					}
					if err := conn.Release(); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
