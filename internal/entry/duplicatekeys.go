package entry

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/quetzalweir/quetzalweir/resultcode"
)

// checkDuplicateKeys rejects a body in which an object has a duplicate key. Some
// parsers use the first of the values and encoding/json uses the last, so that the
// permission would be checked for one model while the upstream runs another. Keys of
// the top-level object are compared without regard to case, since encoding/json
// matches them that way.
func checkDuplicateKeys(body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	var enclosing []map[string]bool // the keys of each enclosing object, nil for an array
	isKey := false
	for {
		token, err := decoder.Token()
		if err != nil {
			return nil // the end of the body, which is known to be valid JSON
		}
		switch t := token.(type) {
		case json.Delim:
			switch t {
			case '{':
				enclosing = append(enclosing, make(map[string]bool))
			case '[':
				enclosing = append(enclosing, nil)
			default:
				enclosing = enclosing[:len(enclosing)-1]
			}
		case string:
			if !isKey {
				break
			}
			key := t
			if len(enclosing) == 1 {
				key = strings.ToLower(key)
			}
			keys := enclosing[len(enclosing)-1]
			if keys[key] {
				return resultcode.New(resultcode.MalformedBody, "the key %q comes twice", t)
			}
			keys[key] = true
			isKey = false
			continue
		}
		isKey = len(enclosing) > 0 && enclosing[len(enclosing)-1] != nil && decoder.More()
	}
}
