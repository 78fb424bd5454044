package manifest_test

import (
	"fmt"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// Parse returns all problems of an invalid document as one error.
func Example() {
	text := `{
		"format": 1, "parent": "", "build": "1042",
		"models": [{"name": "chat", "versions": [
			{"name": "v1", "state": "serving", "share": 90, "prompt_price": 0, "completion_price": 0}
		]}],
		"classes": [{"name": "normal", "deadline_ms": 1000, "min_share": 0}],
		"accounts": [],
		"sessions": {"ttl_seconds": 60, "on_withdrawn": "refuse"}
	}`
	_, err := manifest.Parse([]byte(text))
	fmt.Println(err)
	// Output:
	// manifest: models[0].versions: the shares have a wrong sum, got 90, allowed: 100
}
