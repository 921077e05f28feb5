package distance_test

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosakeel/mimosakeel/internal/distance"
	"github.com/onsi/gomega"
)

// Guards against delays that add up over the writes of a stream, because each
// write waits for the previous one, and against the loss of queued data when a
// connection is closed.
func TestConnDelaysEachWriteOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		near, far := net.Pipe()
		delayed := distance.Conn(near, 5*time.Millisecond)
		start := time.Now()
		for range 3 {
			_, err := delayed.Write([]byte("abc"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		g.Expect(delayed.Close()).To(gomega.Succeed())
		g.Expect(time.Since(start)).To(gomega.BeZero())
		g.Expect(io.ReadAll(far)).To(gomega.BeEquivalentTo("abcabcabc"))
		g.Expect(time.Since(start)).To(gomega.Equal(5 * time.Millisecond))
		_, err := delayed.Write([]byte("d"))
		g.Expect(err).To(gomega.HaveOccurred())
	})
}
