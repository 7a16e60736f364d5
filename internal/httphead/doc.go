// Package httphead checks the heads of HTTP/1.1 messages from outside before the HTTP library
// parses them.
//
// The library accepts heads that other parsers read differently, and panics on some. A Scanner
// reads a head by the rules of RFC 9112 as its bytes arrive, and refuses what the library must
// not see. It does no input or output.
package httphead
