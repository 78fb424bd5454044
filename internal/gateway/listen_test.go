package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/routing"
)

// The limits of the callers' listener were constants, whatever the document stated.
func TestLimitsOfTheDocumentApplyToConnections(t *testing.T) {
	is := is.New(t)
	doc := testDocument()
	doc.Limits = routing.Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	g, _ := newGatewayWithoutServer(t, doc)
	o := g.callerOptions()
	is.Equal(o.MaxHead(), 32<<10)
	is.Equal(o.HeadTimeout(), 6*time.Second)
	is.Equal(o.IdleTimeout(), 18*time.Second)

	doc.Limits = routing.Limits{}
	table, err := routing.New(doc)
	is.NoErr(err)
	g.routingTable.Store(table)
	is.Equal(o.MaxHead(), 2*defaultMaxHeaderBytes)
	is.Equal(o.HeadTimeout(), 2*defaultHeaderTimeout)
	is.Equal(o.IdleTimeout(), defaultIdleTimeout+defaultHeaderTimeout)
}
