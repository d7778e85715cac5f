// Package logs configures the JSON logging of a process. Field names are stable,
// because operators search for them.
//
// # Usage
//
//	log := logs.New(os.Stderr, "info", "i-1", "zone-a")
//	log.WithField(logs.Account, "acme").Info("request refused")
//
// Never log a key or its digest; log the key's ID.
package logs

import (
	"io"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Names of log fields.
const (
	Instance = "instance"
	Zone     = "zone"
	Account  = "account"
	KeyID    = "key_id"
	Endpoint = "endpoint"
	Request  = "request"
	Trainer  = "trainer"
	Step     = "step"
	Window   = "window"
	Code     = "code"
	Peer     = "peer"
	Sequence = "sequence"
	Fence    = "fence"
	Model    = "model"
	Cause    = "cause"
	Content  = "content"
)

// New returns a logger that adds the instance and zone to each JSON line.
// Level is one of logrus's level names.
func New(out io.Writer, level, instance, zone string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return logger.WithFields(logrus.Fields{Instance: instance, Zone: zone}), nil
}

// Discard returns a logger without output, for tests.
func Discard() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}
