package main

import (
	"context"

	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/platform"
)

type checkCommand struct {
	Settings string `arg:"positional,required" placeholder:"FILE" help:"settings file of an instance (JSON)"`
	Platform bool   `arg:"--platform" help:"the file is one that the platform writes for entry and worker processes"`
}

func (c *checkCommand) run(context.Context) error {
	if c.Platform {
		profile, err := platform.ReadProfile(c.Settings)
		if err != nil {
			return err
		}
		return printJSON(platform.Settings(profile))
	}
	settings, err := setting.Load(c.Settings)
	if err != nil {
		return err
	}
	settings.Secret = "(not shown)"
	settings.OperatorDigest = "(not shown)"
	return printJSON(settings)
}
