package serve

import (
	"context"
	"fmt"
	"sync"

	"github.com/wigeonpin/wigeonpin/internal/peer/objects"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// objectRecords returns the object API as a store of records, for components that run on
// the users' platform too. It can read, create and replace single records.
func objectRecords(client *objects.Client) records.Store {
	put := func(ctx context.Context, r records.Record) (records.Record, error) {
		object, err := client.Put(ctx, r.Kind, r.Name, r.Revision, r.Body)
		if err != nil {
			return records.Record{}, recordError(err)
		}
		return recordOf(object), nil
	}
	return records.Store{
		Get: func(ctx context.Context, kind, name string) (records.Record, error) {
			object, found, err := client.Get(ctx, kind, name)
			if err == nil && !found {
				err = records.ErrMissing
			}
			return recordOf(object), err
		},
		Create: func(ctx context.Context, r records.Record) (records.Record, error) {
			r.Revision = 0
			return put(ctx, r)
		},
		Put: put,
	}
}

func recordOf(o objects.Object) records.Record {
	return records.Record{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Body: o.Value}
}

// recordError returns the error of a write as that of a store of records.
func recordError(err error) error {
	kind := records.ErrUnknownOutcome
	if _, conflict := objects.Conflict(err); conflict {
		kind = records.ErrConflict
	} else if objects.NotApplied(err) {
		kind = records.ErrRefused
	}
	return fmt.Errorf("%w: %w", kind, err)
}

// runArchives keeps the contents that crash endpoints in the store until ctx ends.
func (i *instance) runArchives(ctx context.Context) error {
	var running sync.WaitGroup
	for _, a := range i.archives {
		running.Go(func() { a.Run(ctx) })
	}
	running.Wait()
	return ctx.Err()
}
