package step

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
)

// VersionKind is the object kind under which the platform stores trainers'
// versions.
const VersionKind = "version"

// maxAnnounceAttempts bounds the conditional updates of one announcement. An
// attempt fails only when another writer's update was accepted first.
const maxAnnounceAttempts = 8

// versionRecord is the stored value of a version object.
type versionRecord struct {
	Version int `json:"version"`
}

// Announce stores a trainer's new weight version on the platform. It is
// idempotent. A version below the stored one is rejected.
func (s *Steps) Announce(ctx context.Context, trainer string, version int) error {
	if version <= 0 {
		return code.New(code.OutOfRange, "field \"version\" has value %d, must be at least 1", version).WithRun(code.NotRun)
	}
	value, err := json.Marshal(versionRecord{version})
	if err != nil {
		return eris.Wrap(err, "encode version")
	}
	for range maxAnnounceAttempts {
		stored, revision, found, err := s.seams.Get(ctx, VersionKind, trainer)
		if err != nil {
			return eris.Wrapf(err, "read the version of trainer %s", trainer)
		}
		var current versionRecord
		if found {
			if err := json.Unmarshal(stored, &current); err != nil {
				return eris.Wrapf(err, "decode the version of trainer %s", trainer)
			}
		}
		s.Observe(trainer, max(version, current.Version))
		if current.Version > version {
			return code.New(code.StepInvalid, "version %d of trainer %s is below the announced version %d",
				version, trainer, current.Version).WithRun(code.NotRun)
		}
		if current.Version == version {
			return nil
		}
		written, err := s.seams.Put(ctx, VersionKind, trainer, value, revision)
		if err != nil {
			return eris.Wrapf(err, "write the version of trainer %s", trainer)
		}
		if written {
			return nil
		}
	}
	return code.New(code.PlatformBehind, "the version of trainer %s could not be written", trainer).WithRetryAfter(time.Second)
}

// Observe records on this instance that a trainer has reached a version.
func (s *Steps) Observe(trainer string, version int) {
	s.home.mu.Lock()
	defer s.home.mu.Unlock()
	s.home.observe(trainer, version)
}
