package membership

import (
	"encoding/json"
	"testing"
)

// FuzzHandleExchange checks that no message from another host causes a panic,
// removes or corrupts the record of this host, or makes the sums and counts
// inconsistent with the records.
func FuzzHandleExchange(f *testing.F) {
	f.Add([]byte(`{"k":1,"f":"a","v":9,"q":true,"m":[{"i":"a","z":"z","s":1,"n":1}],"a":[{"k":"x","v":1,"t":-1}]}`))
	f.Add([]byte(`{"k":3,"f":"a","g":{"i":"b","s":1}}`))
	f.Add([]byte(`{"k":5,"f":"a","l":{"b":"AEBB/w==","e":[{"k":"m/self","v":1},{"k":"f/x","v":2}]}}`))
	f.Add([]byte(`{"k":2,"f":"a","m":[{"i":"self","s":4,"n":1125899906842623}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var message Message
		if json.Unmarshal(data, &message) != nil {
			return
		}
		m := newWithoutPeers(t)
		before := m.Self()
		for range 2 { // the message and a repetition of it
			if _, err := m.HandleExchange(t.Context(), message); err != nil && message.To == "" {
				t.Fatal(err)
			}
		}
		self, ok := m.Lookup(before.ID)
		if !ok || self.State != Up || self.Incarnation < before.Incarnation {
			t.Fatalf("own record changed to %+v", self)
		}
		var sums [bucketCount]uint64
		for _, r := range m.store.records {
			sums[r.bucket] ^= r.sum
		}
		if sums != m.store.sums || m.store.members+m.store.facts != len(m.store.records) {
			t.Fatal("sums or counts don't match the records")
		}
	})
}
