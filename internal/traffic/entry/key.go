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
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
)

// A key has the form wp_ID_SECRET. The id contains no underscore, so the first
// one after it separates the secret, which may contain underscores.
var (
	wholeKeyPattern = regexp.MustCompile(`^wp_([A-Za-z0-9.-]{1,64})_([A-Za-z0-9_-]{1,256})$`)
	keyPattern      = regexp.MustCompile(`wp_([A-Za-z0-9.-]{1,64})_([A-Za-z0-9_-]{1,256})`)
)

// caller is the sender of one running request. The zero value is an anonymous
// caller.
type caller struct {
	account string
	keyID   string
	// key is the presented key. It must never leave the package.
	key    string
	digest [sha256.Size]byte
	// checkRoute returns an error unless the account may use the route
	// according to the given table. It is nil for anonymous callers.
	checkRoute      func(current *table.Table) error
	cancel          context.CancelCauseFunc
	responseStarted bool
}

// authenticate checks the request's key and, with checkRoute, that its account
// may use the route. It requires a fresh view of the keys. From then on the
// request is cancelled when the key or the access is withdrawn.
func (e *Entry) authenticate(r *http.Request, c *caller, checkRoute func(account string, current *table.Table) error) error {
	presented, err := bearerKey(r.Header)
	if err != nil {
		return err
	}
	parts := wholeKeyPattern.FindStringSubmatch(presented)
	if parts == nil {
		return code.New(code.KeyMalformed, "the key does not have the form of a key").WithRun(code.NotRun)
	}
	c.keyID, c.key, c.digest = parts[1], presented, sha256.Sum256([]byte(presented))
	current := e.seams.Table()
	row, ok := current.Key(c.keyID)
	if ok {
		c.account = row.Account
	}
	c.checkRoute = func(current *table.Table) error { return checkRoute(c.account, current) }
	if err := e.requireFreshKeys(); err != nil {
		return err
	}
	if err := c.checkAccess(current); err != nil {
		if code.Is(err, code.KeyUnknown) {
			c.account = ""
		}
		return err
	}
	e.active.add(c)
	// Check again: a snapshot published since the check above was not applied
	// to this request, which was not yet in the set.
	return c.checkAccess(e.seams.Table())
}

// requireFreshKeys returns an error unless the view of the keys is fresh.
func (e *Entry) requireFreshKeys() error {
	ok, wait := e.seams.Fresh()
	if ok {
		return nil
	}
	return code.New(code.KeysStale, "the view of the keys is not fresh").
		WithRun(code.NotRun).WithRetryAfter(max(wait, 100*time.Millisecond))
}

// dispatchCheck returns the function that repeats the checks of a queued request
// right before it is dispatched.
func (e *Entry) dispatchCheck(c *caller, work stop.Work) func() error {
	return func() error {
		if err := e.checkEnd(work); err != nil {
			return err
		}
		if c.checkRoute == nil {
			return nil // an anonymous caller
		}
		if err := e.requireFreshKeys(); err != nil {
			return err
		}
		return c.checkAccess(e.seams.Table())
	}
}

// checkAccess returns an error unless the key is valid in the given table and
// its account may use the route.
func (c *caller) checkAccess(current *table.Table) error {
	row, ok := current.Key(c.keyID)
	// The comparison also runs for unknown ids, so that the response time does
	// not reveal which ids exist.
	digest, err := hex.DecodeString(row.Digest)
	match := subtle.ConstantTimeCompare(c.digest[:], digest) == 1
	if !ok || err != nil || !match {
		return code.New(code.KeyUnknown, "no client account has this key").WithRun(code.NotRun)
	}
	if row.Withdrawn {
		return code.New(code.KeyWithdrawn, "the key was withdrawn").WithRun(code.NotRun)
	}
	if _, ok := current.Account(row.Account); !ok || row.Account != c.account {
		return code.New(code.KeyForbidden, "the key's account does not exist").WithRun(code.NotRun)
	}
	return c.checkRoute(current)
}

// bearerKey returns the key from the Authorization header.
func bearerKey(header http.Header) (string, error) {
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
