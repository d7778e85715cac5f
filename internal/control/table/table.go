// Package table holds the operators' configuration: an immutable set of rows
// with a typed view of each kind of row. With and Apply return a new table.
//
// # Usage
//
//	next, err := current.With(table.Row{Table: table.Accounts, Name: "acme",
//		Revision: 8, Value: json.RawMessage(`{"weight":2}`)})
//	account, ok := next.Account("acme")
package table

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

// The names of the tables.
const (
	Accounts = "account"
	Keys     = "key"
	Trainers = "trainer"
	Routes   = "route"
	Models   = "model"
	Zones    = "zone"
)

// Row is one row of a table. Revision is the sequence of the edit that last
// changed it. A deleted row stays as a tombstone without value.
type Row struct {
	Table    string          `json:"table"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// Account is a client account's row.
type Account struct {
	Name string `json:"-"`
	// Weight is the account's share relative to the other accounts.
	Weight float64 `json:"weight" validate:"gt=0,max=1000"`
	// MaxWaiting is the maximum number of requests waiting on one instance.
	MaxWaiting int `json:"queue" validate:"min=1,max=100000"`
	// MaxRunning is the maximum number of requests running on one instance; 0 means no limit.
	MaxRunning int `json:"running" validate:"min=0,max=100000"`
}

// Key is the row of a key of a client account. The row's name is the public
// id of the key.
type Key struct {
	ID      string `json:"-"`
	Account string `json:"account" validate:"required,max=64"`
	// Digest is the SHA-256 of the whole key in hexadecimal.
	Digest    string `json:"digest" validate:"required,hexadecimal,len=64"`
	Withdrawn bool   `json:"withdrawn"`
}

// Trainer is a trainer's row.
type Trainer struct {
	Name    string `json:"-"`
	Account string `json:"account" validate:"required,max=64"`
	Model   string `json:"model" validate:"required,max=64"`
	// MaxAge is the maximum age of a sample, in weight versions.
	MaxAge int `json:"max_age" validate:"min=0,max=100"`
}

// Route is the row of a plain service's route.
type Route struct {
	Name  string `json:"-"`
	Model string `json:"model" validate:"required,max=64"`
	// Open allows requests without a key.
	Open bool `json:"open"`
	// Repeatable allows requests to run more than once and on cheap endpoints.
	Repeatable bool `json:"repeatable"`
	// Accounts lists the client accounts that may use a route that is not open;
	// an empty list allows all accounts.
	Accounts []string `json:"accounts" validate:"max=1000"`
}

// Model is the row of an engine model or of a plain service.
type Model struct {
	Name string `json:"-"`
	Kind string `json:"kind" validate:"oneof=engine service"`
	// Slots is the maximum number of requests that one endpoint runs at a time.
	Slots int `json:"slots" validate:"min=1,max=4096"`
	// Floor is the minimum number of standard endpoints in each zone.
	Floor int `json:"floor" validate:"min=0,max=10000"`
	// Ceiling is the maximum number of endpoints in each zone.
	Ceiling int `json:"ceiling" validate:"min=0,max=10000"`
	// Cheap allows cheap endpoints.
	Cheap bool `json:"cheap"`
}

// Zone is an availability zone's row.
type Zone struct {
	Name  string `json:"-"`
	State string `json:"state" validate:"oneof=in out"`
}

// Table is the immutable configuration as of one sequence.
type Table struct {
	sequence uint64
	rows     map[string]Row
	accounts map[string]Account
	keys     map[string]Key
	trainers map[string]Trainer
	routes   map[string]Route
	models   map[string]Model
	zones    map[string]Zone
}

// New returns the empty table at sequence 0.
func New() *Table { return &Table{} }

// Sequence returns the sequence of the last edit that the table includes.
func (t *Table) Sequence() uint64 { return t.sequence }

// With returns a copy of the table with one more edit; the sequence rises to
// the row's revision. It fails if the row is invalid or refers to a row that
// does not exist.
func (t *Table) With(row Row) (*Table, error) {
	if err := t.Validate(row); err != nil {
		return nil, err
	}
	next := *t
	next.rows = copyAndSet(t.rows, rowKey(row.Table, row.Name), row, false)
	next.sequence = max(t.sequence, row.Revision)
	next.updateView(row, true)
	return &next, nil
}

// smallUpdate is the maximum number of rows for which Apply copies the maps
// once for each row. With few rows, this is cheaper than decoding the whole
// table again.
const smallUpdate = 16

// Apply returns a copy of the table with rows that other instances accepted,
// up to the given sequence. It skips rows that are not newer than those in the
// table. It does not validate the rows, because accepted rows may come from a
// newer release.
func (t *Table) Apply(sequence uint64, rows []Row) *Table {
	if len(rows) > smallUpdate {
		return Load(max(sequence, t.sequence), append(t.Rows(), rows...))
	}
	next := *t
	for _, r := range rows {
		key := rowKey(r.Table, r.Name)
		if held, ok := next.rows[key]; ok && held.Revision >= r.Revision {
			continue
		}
		next.rows = copyAndSet(next.rows, key, r, false)
		next.updateView(r, true)
		next.sequence = max(next.sequence, r.Revision)
	}
	next.sequence = max(next.sequence, sequence)
	return &next
}

// Load returns the table that consists of the given rows, at the given
// sequence. Rows that this release cannot decode are kept but have no typed
// view.
func Load(sequence uint64, rows []Row) *Table {
	t := &Table{
		rows: map[string]Row{}, accounts: map[string]Account{}, keys: map[string]Key{},
		trainers: map[string]Trainer{}, routes: map[string]Route{}, models: map[string]Model{}, zones: map[string]Zone{},
	}
	for _, r := range rows {
		key := rowKey(r.Table, r.Name)
		if held, ok := t.rows[key]; ok && held.Revision > r.Revision {
			continue
		}
		t.rows[key] = r
		t.updateView(r, false)
		t.sequence = max(t.sequence, r.Revision)
	}
	t.sequence = max(t.sequence, sequence)
	return t
}

func rowKey(tableName, name string) string { return tableName + "/" + name }

// copyAndSet returns a copy of m in which key is set to value or, if remove is
// set, removed.
func copyAndSet[V any](m map[string]V, key string, value V, remove bool) map[string]V {
	next := maps.Clone(m)
	if next == nil {
		next = map[string]V{}
	}
	setOrDelete(next, key, value, remove)
	return next
}

func setOrDelete[V any](next map[string]V, key string, value V, remove bool) {
	if remove {
		delete(next, key)
	} else {
		next[key] = value
	}
}

// decodeInto decodes a row over its defaults and stores the value in m or, if
// m is shared with another table, in a copy of m.
func decodeInto[V any](m map[string]V, row Row, shared bool, defaults V, withName func(V) V) map[string]V {
	value := defaults
	if !row.Deleted && codec.Decode(row.Value, &value) != nil {
		return m
	}
	if shared {
		return copyAndSet(m, row.Name, withName(value), row.Deleted)
	}
	setOrDelete(m, row.Name, withName(value), row.Deleted)
	return m
}

var (
	defaultAccount = Account{Weight: 1, MaxWaiting: 1000}
	defaultModel   = Model{Kind: "engine", Slots: 8, Ceiling: 10000}
	defaultZone    = Zone{State: "in"}
)

// updateView updates the typed view of a row. If the maps are shared with
// another table, it changes a copy.
func (t *Table) updateView(row Row, shared bool) {
	switch row.Table {
	case Accounts:
		t.accounts = decodeInto(t.accounts, row, shared, defaultAccount, func(a Account) Account { a.Name = row.Name; return a })
	case Keys:
		t.keys = decodeInto(t.keys, row, shared, Key{}, func(k Key) Key { k.ID = row.Name; return k })
	case Trainers:
		t.trainers = decodeInto(t.trainers, row, shared, Trainer{}, func(r Trainer) Trainer { r.Name = row.Name; return r })
	case Routes:
		t.routes = decodeInto(t.routes, row, shared, Route{}, func(r Route) Route { r.Name = row.Name; return r })
	case Models:
		t.models = decodeInto(t.models, row, shared, defaultModel, func(m Model) Model { m.Name = row.Name; return m })
	case Zones:
		t.zones = decodeInto(t.zones, row, shared, defaultZone, func(z Zone) Zone { z.Name = row.Name; return z })
	}
}

// Validate checks the name and the fields of a row and that the account that
// it refers to exists. For a deletion, it checks that the row exists and that
// no trainer and no valid key still belongs to the deleted account.
func (t *Table) Validate(row Row) error {
	if row.Name == "" || len(row.Name) > 64 || strings.ContainsAny(row.Name, "/ \t\n") {
		return code.New(code.EditInvalid, "field \"name\" has value %q, must be 1 to 64 characters without space or slash", row.Name)
	}
	if row.Deleted {
		return t.validateDelete(row)
	}
	switch row.Table {
	case Accounts:
		return checkRow(row, defaultAccount, nil)
	case Keys:
		return checkRow(row, Key{}, func(k Key) error { return t.requireAccount(k.Account) })
	case Trainers:
		return checkRow(row, Trainer{}, func(r Trainer) error { return t.requireAccount(r.Account) })
	case Routes:
		return checkRow(row, Route{}, nil)
	case Models:
		return checkRow(row, defaultModel, nil)
	case Zones:
		return checkRow(row, defaultZone, nil)
	default:
		return code.New(code.EditInvalid, "field \"table\" has value %q, must be one of account, key, trainer, route, model, zone", row.Table)
	}
}

func checkRow[V any](row Row, defaults V, checkReference func(V) error) error {
	value := defaults
	if err := codec.Decode(row.Value, &value); err != nil {
		return code.New(code.EditInvalid, "row %s/%s: %s", row.Table, row.Name, code.Of(err).Message)
	}
	if err := setting.Check(value); err != nil {
		return code.New(code.EditInvalid, "row %s/%s: %s", row.Table, row.Name, err)
	}
	if checkReference != nil {
		return checkReference(value)
	}
	return nil
}

func (t *Table) requireAccount(name string) error {
	if _, ok := t.accounts[name]; !ok {
		return code.New(code.EditInvalid, "field \"account\" has value %q, must be an existing client account", name)
	}
	return nil
}

func (t *Table) validateDelete(row Row) error {
	if _, ok := t.Row(row.Table, row.Name); !ok {
		return code.New(code.MissingObject, "row %s/%s does not exist", row.Table, row.Name)
	}
	if row.Table != Accounts {
		return nil
	}
	for _, k := range t.keys {
		if k.Account == row.Name && !k.Withdrawn {
			return code.New(code.EditInvalid, "account %q still has the key %q", row.Name, k.ID)
		}
	}
	for _, r := range t.trainers {
		if r.Account == row.Name {
			return code.New(code.EditInvalid, "account %q still has the trainer %q", row.Name, r.Name)
		}
	}
	return nil
}

// Row returns a row that is not deleted.
func (t *Table) Row(tableName, name string) (Row, bool) {
	r, ok := t.rows[rowKey(tableName, name)]
	return r, ok && !r.Deleted
}

// Rows returns all rows, including tombstones, in order of revision.
func (t *Table) Rows() []Row {
	rows := slices.Collect(maps.Values(t.rows))
	slices.SortFunc(rows, func(a, b Row) int {
		if a.Revision != b.Revision {
			return int(int64(a.Revision) - int64(b.Revision))
		}
		return strings.Compare(rowKey(a.Table, a.Name), rowKey(b.Table, b.Name))
	})
	return rows
}

// RowsAfter returns the rows that changed after a sequence, including
// tombstones, in order of revision.
func (t *Table) RowsAfter(sequence uint64) []Row {
	return slices.DeleteFunc(t.Rows(), func(r Row) bool { return r.Revision <= sequence })
}

// Account returns a client account.
func (t *Table) Account(name string) (Account, bool) { a, ok := t.accounts[name]; return a, ok }

// Key returns a key by its public id. The key may have been withdrawn.
func (t *Table) Key(id string) (Key, bool) { k, ok := t.keys[id]; return k, ok }

// Trainer returns a trainer.
func (t *Table) Trainer(name string) (Trainer, bool) { r, ok := t.trainers[name]; return r, ok }

// Route returns a route of a plain service.
func (t *Table) Route(name string) (Route, bool) { r, ok := t.routes[name]; return r, ok }

// Model returns a model or plain service.
func (t *Table) Model(name string) (Model, bool) { m, ok := t.models[name]; return m, ok }

// Models returns all models by name. The map must not be changed.
func (t *Table) Models() map[string]Model { return t.models }

// Trainers returns all trainers by name. The map must not be changed.
func (t *Table) Trainers() map[string]Trainer { return t.trainers }

// Accounts returns all client accounts by name. The map must not be changed.
func (t *Table) Accounts() map[string]Account { return t.accounts }

// ZoneOut reports whether the operators have taken the availability zone out
// of service.
func (t *Table) ZoneOut(name string) bool { return t.zones[name].State == "out" }

// RowOrTombstone returns a row or its tombstone. If the row never existed, the
// result has revision 0.
func (t *Table) RowOrTombstone(tableName, name string) Row { return t.rows[rowKey(tableName, name)] }
