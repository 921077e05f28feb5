package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosakeel/mimosakeel/catalog"
	"github.com/mimosakeel/mimosakeel/ingress"
)

// Guards against a configuration whose limits on clients do not come into force.
func TestLimitsOfAConfigurationComeIntoForce(t *testing.T) {
	g := NewWithT(t)
	limits := catalog.Limits{MaxHeaderBytes: 4096, HeaderTimeout: 2 * time.Second, IdleTimeout: 9 * time.Second}
	decode := func([]byte) (catalog.Config, error) { return catalog.Config{Version: 3, Limits: limits}, nil }
	settings := DefaultSettings()
	settings.VM, settings.MemoryMB, settings.MaxDescriptors = "vm", 144, 3075
	d := New(Config{Settings: settings, Source: Source{DecodeConfig: decode}})
	d.control.applyConfig(nil)
	g.Expect(d.ingress.Limits()).To(Equal(ingress.Limits{HeadBytes: 4096, HeaderTimeout: 2 * time.Second, IdleTimeout: 9 * time.Second}))
}
