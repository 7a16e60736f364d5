package strictyaml

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Share is a fraction of 1, written as "10%" or 0.1.
type Share float64

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (s *Share) UnmarshalYAML(text []byte) error {
	number := strings.Trim(strings.TrimSpace(string(text)), `"'`)
	scale := 1.0
	if n, ok := strings.CutSuffix(number, "%"); ok {
		number, scale = n, 100
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if err != nil {
		return errors.New("a share such as 10% or 0.1")
	}
	*s = Share(v / scale)
	return nil
}

// MarshalYAML encodes the share as a percentage.
func (s Share) MarshalYAML() ([]byte, error) {
	return []byte(s.String()), nil
}

// String returns the share as a percentage such as "10%".
func (s Share) String() string {
	return fmt.Sprintf("%s%%", strconv.FormatFloat(float64(s)*100, 'f', -1, 32))
}
