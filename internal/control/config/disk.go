package config

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

const tableFile = "table.json"

// restore reads the table from the data folder, if there is one.
func (c *Config) restore() {
	if c.settings.Data == "" {
		return
	}
	raw, err := os.ReadFile(filepath.Join(c.settings.Data, tableFile))
	if os.IsNotExist(err) {
		return
	}
	var p page
	if err == nil {
		err = json.Unmarshal(raw, &p)
	}
	if err != nil {
		c.log.WithError(err).Warn("the table in the data folder cannot be read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Sequence > c.state.table.Sequence() {
		c.setTable(table.Load(p.Sequence, p.Rows))
		c.log.WithField(logs.Sequence, p.Sequence).Info("table read from the data folder")
	}
}

// saveLoop writes the table to the data folder after it has changed, at most
// once in each exchange period.
func (c *Config) saveLoop(ctx context.Context) {
	if c.settings.Data == "" {
		return
	}
	saved := c.Sequence()
	for {
		changed := c.Changed()
		if t := c.Table(); t.Sequence() > saved {
			if err := save(c.settings.Data, t); err != nil {
				c.log.WithError(err).Warn("the table cannot be saved")
			} else {
				saved = t.Sequence()
			}
			if c.timers.Sleep(ctx, c.period) != nil {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// save replaces the file atomically, so that a crash leaves either the old or the
// new table. Only the owner may read it, since rows hold digests of keys.
func save(folder string, t *table.Table) error {
	raw, err := json.Marshal(page{Sequence: t.Sequence(), Pages: 1, Rows: t.Rows()})
	if err != nil {
		return eris.Wrap(err, "encode table")
	}
	file, err := os.CreateTemp(folder, tableFile+".*")
	if err != nil {
		return eris.Wrap(err, "save table")
	}
	defer os.Remove(file.Name())
	_, err = file.Write(raw)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(file.Name(), filepath.Join(folder, tableFile))
	}
	return eris.Wrap(err, "save table")
}
