package main

import (
	"context"
	"os"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/serve"
)

type serveCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings file of the instance (JSON)"`
}

func (c *serveCommand) run(ctx context.Context) error {
	settings, err := setting.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := logs.New(os.Stderr, settings.Log, settings.ID, settings.Zone)
	if err != nil {
		return err
	}
	return serve.Run(ctx, settings, log)
}
