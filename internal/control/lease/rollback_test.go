package lease

import (
	"testing"
	"time"
)

// Guards against a token that is used again after the platform has lost data: the
// lease object is back at an earlier token, and receivers that check tokens would
// take orders of the former holder for those of its successor.
func TestTokenIsNotUsedAgainAfterARollback(t *testing.T) {
	c := newContest(t)
	c.advance(time.Second, 0)
	c.expectHolder(0, 1)
	earlier := c.store.object
	c.advance(20*time.Second, 1) // i0 is frozen
	c.expectHolder(1, 2)
	c.advance(time.Second, 0, 1)
	c.store.object = earlier
	c.advance(40*time.Second, 0) // i1 is frozen
	if fence, held := c.leases[0].Held(); !held || fence <= 2 {
		t.Errorf("i0: held=%v with token %d, want a token above 2", held, fence)
	}
}
