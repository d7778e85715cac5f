package usage

import (
	"context"
	"math"
)

func (l *Log) AddForTest(r Record) <-chan struct{} { _, done := l.add(r); return done }
func (l *Log) CommitForTest(ctx context.Context)   { l.commit(ctx) }
func (l *Log) SealForTest(ctx context.Context)     { l.sealPass(ctx, l.currentWindow()) }
func (l *Log) SealAllForTest(ctx context.Context)  { l.sealPass(ctx, math.MaxInt64) }
func (l *Log) IncarnationForTest() string          { return l.tail.incarnation }
func (l *Log) HolderForTest() Copies               { return l.held }
