package daemon

import (
	"time"

	"github.com/mimosakeel/mimosakeel/claim"
	"github.com/mimosakeel/mimosakeel/member"
)

// incarnationEnded is the event that an incarnation has ended.
type incarnationEnded struct{ incarnation string }

// claimNotifier notifies the claim machines of incarnations that have ended.
type claimNotifier struct{ runner *claim.Runner }

func (c claimNotifier) handle(_ time.Time, ev any) bool {
	gone, ok := ev.(incarnationEnded)
	if ok {
		c.runner.OwnerGone(gone.incarnation)
	}
	return ok
}

func (claimNotifier) tick(time.Time) {}

func (claimNotifier) membership(time.Time, *member.Set, *member.Set) {}
