package httphead

import (
	"encoding/binary"
	"strings"
)

// deleteByte is the control byte outside the range below the space.
const deleteByte = 0x7f

// tokenBytes holds the bytes that a token may have.
var tokenBytes = func() (table [256]bool) {
	for c := range table {
		b := byte(c)
		table[c] = isAlphanumeric(b) || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
	return table
}()

// hostBytes holds the bytes that a host with a port may have.
var hostBytes = func() (table [256]bool) {
	for c := range table {
		b := byte(c)
		table[c] = isAlphanumeric(b) || strings.IndexByte("-._~%!$&'()*+,;=:[]", b) >= 0
	}
	return table
}()

// controlBytes holds the bytes that a field may not have.
var controlBytes = func() (table [256]bool) {
	for c := range table {
		table[c] = c < ' ' && c != '\t' || c == deleteByte
	}
	return table
}()

// isToken reports whether the bytes are an HTTP token.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// Words of eight equal bytes, to look at eight bytes of a value at a time.
const (
	eachByte  = 0x0101010101010101
	highBits  = 0x80 * eachByte
	allSpaces = ' ' * eachByte
	allDelete = deleteByte * eachByte
)

func hasControlByte(b []byte) bool {
	for ; len(b) >= 8; b = b[8:] {
		word := binary.LittleEndian.Uint64(b)
		belowSpace := (word - allSpaces) & ^word & highBits
		isDelete := word ^ allDelete
		if belowSpace|(isDelete-eachByte)&^isDelete&highBits != 0 && hasControlByteIn(b[:8]) {
			return true
		}
	}
	return hasControlByteIn(b)
}

// hasControlByteIn is hasControlByte for a few bytes.
func hasControlByteIn(b []byte) bool {
	for _, c := range b {
		if controlBytes[c] {
			return true
		}
	}
	return false
}

// isVisible reports whether the bytes are not empty and have neither spaces nor control bytes.
func isVisible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == deleteByte {
			return false
		}
	}
	return len(b) > 0
}

// isHost reports whether the bytes may be a host with an optional port. A Host field may be empty.
func isHost(b []byte) bool {
	for _, c := range b {
		if !hostBytes[c] {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || isDigit(c)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
