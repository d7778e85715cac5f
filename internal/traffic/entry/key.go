package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

// The form of a key is wp_ID_SECRET. The id has no underscore, so that the
// first one after the id separates the secret, which may have some.
var (
	keyForm    = regexp.MustCompile(`^wp_([A-Za-z0-9.-]{1,64})_([A-Za-z0-9_-]{1,256})$`)
	keyPattern = regexp.MustCompile(`wp_([A-Za-z0-9.-]{1,64})_([A-Za-z0-9_-]{1,256})`)
)

// caller is who sent a request. The zero value is an anonymous caller.
type caller struct {
	account string
	keyID   string
	// key is what the caller presented; it never leaves the package.
	key    string
	digest [sha256.Size]byte
	// permitted checks that the account may still use the route.
	permitted func(current *table.Table) error
	cancel    context.CancelCauseFunc
	// begun is set once the answer has begun.
	begun bool
}

// identify checks the request's key and who may use the route. It requires a
// fresh view of the keys.
func (e *Entry) identify(r *http.Request, c *caller, permitted func(account string, current *table.Table) error) error {
	presented, err := bearer(r.Header)
	if err != nil {
		return err
	}
	parts := keyForm.FindStringSubmatch(presented)
	if parts == nil {
		return code.New(code.KeyMalformed, "the key does not have the form of a key").WithRun(code.NotRun)
	}
	c.keyID, c.key, c.digest = parts[1], presented, sha256.Sum256([]byte(presented))
	current := e.seams.Table()
	row, ok := current.Key(c.keyID)
	if ok {
		c.account = row.Account
	}
	c.permitted = func(current *table.Table) error { return permitted(c.account, current) }
	if err := e.fresh(); err != nil {
		return err
	}
	if err := c.allowed(current); err != nil {
		if code.Is(err, code.KeyUnknown) {
			c.account = ""
		}
		return err
	}
	e.active.enter(c)
	// A snapshot that came in between has not seen this request.
	return c.allowed(e.seams.Table())
}

// fresh refuses the request unless the view of the keys is fresh.
func (e *Entry) fresh() error {
	ok, wait := e.seams.Fresh()
	if ok {
		return nil
	}
	return code.New(code.KeysStale, "the view of the keys is not fresh").
		WithRun(code.NotRun).WithRetryAfter(max(wait, 100*time.Millisecond))
}

// check is the check of a queued request at dispatch.
func (e *Entry) check(c *caller) func() error {
	if c.permitted == nil {
		return nil
	}
	return func() error {
		if err := e.fresh(); err != nil {
			return err
		}
		return c.allowed(e.seams.Table())
	}
}

// allowed reports whether the key is valid in the table and its account may
// use the route.
func (c *caller) allowed(current *table.Table) error {
	row, ok := current.Key(c.keyID)
	// The comparison also runs for unknown ids, so that its time tells nothing.
	want, err := hex.DecodeString(row.Digest)
	match := subtle.ConstantTimeCompare(c.digest[:], want) == 1
	if !ok || err != nil || !match {
		return code.New(code.KeyUnknown, "no client account has this key").WithRun(code.NotRun)
	}
	if row.Withdrawn {
		return code.New(code.KeyWithdrawn, "the key was withdrawn").WithRun(code.NotRun)
	}
	if _, ok := current.Account(row.Account); !ok || row.Account != c.account {
		return code.New(code.KeyForbidden, "the key's account does not exist").WithRun(code.NotRun)
	}
	return c.permitted(current)
}

func bearer(header http.Header) (string, error) {
	values := header.Values("Authorization")
	if len(values) == 0 {
		return "", code.New(code.KeyMissing, "the header Authorization is missing").WithRun(code.NotRun)
	}
	scheme, key, found := strings.Cut(values[0], " ")
	if len(values) > 1 || !found || !strings.EqualFold(scheme, "Bearer") {
		return "", code.New(code.KeyMalformed, "the header Authorization must be \"Bearer KEY\", once").WithRun(code.NotRun)
	}
	return strings.TrimSpace(key), nil
}

func anyAccount(string, *table.Table) error { return nil }
