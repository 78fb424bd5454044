package entry

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/quetzalweir/quetzalweir/resultcode"
)

// checkChatKeys refuses a body in which a key of an object comes twice: parsers
// down the line may take the first one where this host takes the last, and a
// permission that was checked for one model would be used for another. The keys of
// the body itself are compared without regard to case, as encoding/json matches
// them.
func checkChatKeys(body []byte) error {
	tokens := json.NewDecoder(bytes.NewReader(body))
	var open []map[string]bool // the keys of each open object, nil for a list
	isKey := false
	for {
		token, err := tokens.Token()
		if err != nil {
			return nil // the end; what isn't valid JSON was refused before
		}
		switch t := token.(type) {
		case json.Delim:
			switch t {
			case '{':
				open = append(open, make(map[string]bool))
			case '[':
				open = append(open, nil)
			default:
				open = open[:len(open)-1]
			}
		case string:
			if !isKey {
				break
			}
			key := t
			if len(open) == 1 {
				key = strings.ToLower(key)
			}
			keys := open[len(open)-1]
			if keys[key] {
				return resultcode.New(resultcode.MalformedBody, "the key %q comes twice", t)
			}
			keys[key] = true
			isKey = false
			continue
		}
		isKey = len(open) > 0 && open[len(open)-1] != nil && tokens.More()
	}
}
