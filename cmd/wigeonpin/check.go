package main

import (
	"context"

	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

type checkCommand struct {
	Settings string `arg:"positional,required" placeholder:"FILE" help:"settings file of an instance (JSON)"`
}

func (c *checkCommand) run(context.Context) error {
	settings, err := setting.Load(c.Settings)
	if err != nil {
		return err
	}
	settings.Secret = "(not shown)"
	settings.OperatorDigest = "(not shown)"
	return show(settings)
}
