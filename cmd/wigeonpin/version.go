package main

import (
	"context"
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

func (versionCommand) run(context.Context) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("wigeonpin, version unknown")
		return nil
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Printf("wigeonpin %s, revision %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}
