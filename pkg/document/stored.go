package document

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// ServicesPrefix is the key prefix of the platform objects that hold documents; the rest
// of the key is the service name.
const ServicesPrefix = "services/"

// Stored is the value of the platform object "services/<name>", in JSON.
type Stored struct {
	// Document is the text that the operator submitted.
	Document string `json:"document"`
	// Author is the team of the administration key that was used for the change.
	Author string    `json:"author"`
	At     time.Time `json:"at"`
}

// Encode returns the stored document in JSON.
func (s Stored) Encode() ([]byte, error) { return json.Marshal(s) }

// DecodeStored parses the output of Encode.
func DecodeStored(value []byte) (Stored, error) {
	var s Stored
	if err := json.Unmarshal(value, &s); err != nil {
		return Stored{}, errors.Wrap(err, "document: decode stored document")
	}
	return s, nil
}
