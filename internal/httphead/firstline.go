package httphead

import (
	"bytes"
	"strings"
)

// Protocol versions of requests that are served.
const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// statusLinePattern is the pattern of the start of a status line; each 0 matches any digit, and
// S those that begin a status of 100 to 599. The HTTP library would report 000 as 200, and other
// codes below 200 as interim answers.
const statusLinePattern = "HTTP/1.0 S00"

// isStatusLinePrefix reports whether the bytes begin with a status line or are the start
// of one.
func isStatusLinePrefix(b []byte) bool {
	for i := range min(len(b), len(statusLinePattern)) {
		ok := b[i] == statusLinePattern[i]
		switch statusLinePattern[i] {
		case '0':
			ok = b[i] >= '0' && b[i] <= '9'
		case 'S':
			ok = b[i] >= '1' && b[i] <= '5'
		}
		if !ok {
			return false
		}
	}
	return len(b) <= len(statusLinePattern) || strings.IndexByte(" \r\n", b[len(statusLinePattern)]) >= 0
}

// checkStatusLine checks a status line, of which the start is valid, without its line ending.
func (s *Scanner) checkStatusLine(line []byte) error {
	s.oldVersion = !bytes.HasPrefix(line, []byte(version11))
	switch {
	case hasControlByte(line):
		return errControlByte
	case hasStatusLine(line[len(statusLinePattern):]):
		return errJoinedHeads
	}
	return nil
}

// hasStatusLine reports whether the start of a status line stands somewhere in a line. A faulty
// upstream may send the beginning of an earlier answer again; the library would read the next
// answer as its continuation.
func hasStatusLine(line []byte) bool {
	for {
		i := bytes.Index(line, []byte("HTTP/"))
		if i < 0 {
			return false
		}
		line = line[i:]
		if len(line) >= len(statusLinePattern) && isStatusLinePrefix(line[:len(statusLinePattern)]) {
			return true
		}
		line = line[1:]
	}
}

// isMethodPrefix reports whether the bytes begin with a method and a space or are the start of a
// method.
func isMethodPrefix(b []byte) bool {
	method, _, _ := bytes.Cut(b, []byte(" "))
	return isToken(method)
}

// checkRequestLine checks a request line without its line ending.
func (s *Scanner) checkRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, found := bytes.Cut(rest, []byte(" "))
	if !found || !isToken(method) || !isVisible(target) {
		return errRequestLine
	}
	valid, host := parseTarget(method, target)
	if !valid {
		return errTarget
	}
	s.targetHost = bytes.Clone(host)
	s.oldVersion = string(version) != version11
	return checkVersion(version)
}

// parseTarget reports whether a request target is a path, a URL with a host, or "*" of an OPTIONS
// request, and returns the host with its port if it is a URL. The HTTP library panics on some others.
func parseTarget(method, target []byte) (valid bool, host []byte) {
	switch {
	case bytes.IndexByte(target, '#') >= 0:
		return false, nil
	case target[0] == '/':
		return true, nil
	case string(target) == "*":
		return string(method) == "OPTIONS", nil
	}
	scheme, rest, found := bytes.Cut(target, []byte("://"))
	if !found || !isName(scheme, "http") && !isName(scheme, "https") {
		return false, nil
	}
	host = rest
	if end := bytes.IndexAny(rest, "/?"); end >= 0 {
		host = rest[:end]
	}
	return len(host) > 0 && isHost(host), host
}

func checkVersion(version []byte) error {
	if v := string(version); v == version11 || v == version10 {
		return nil
	}
	number, isHTTP := bytes.CutPrefix(version, []byte("HTTP/"))
	if isHTTP && len(number) == len("1.1") && isDigit(number[0]) && number[1] == '.' && isDigit(number[2]) {
		return errVersion
	}
	return errRequestLine
}
