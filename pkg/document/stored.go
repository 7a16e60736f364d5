package document

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Prefix is the prefix of the platform objects that hold documents; the rest of
// the key is the name of the service.
const Prefix = "services/"

// Stored is the value of the platform object "services/<name>", in JSON.
type Stored struct {
	// Document is the text as the operator wrote it.
	Document string `json:"document"`
	// Author is the team of the key that the change was made with.
	Author string    `json:"author"`
	At     time.Time `json:"at"`
}

// Encode returns the value to store.
func (s Stored) Encode() ([]byte, error) { return json.Marshal(s) }

// DecodeStored reads a stored value.
func DecodeStored(value []byte) (Stored, error) {
	var s Stored
	if err := json.Unmarshal(value, &s); err != nil {
		return Stored{}, errors.Wrap(err, "document: decode stored document")
	}
	return s, nil
}
