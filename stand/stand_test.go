package main

import (
	"context"
	"strings"
	"testing"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/stand/config"
)

func TestSampleIsValid(t *testing.T) {
	var s config.Settings
	if err := boot.Load("sample.toml", &s); err != nil {
		t.Fatal(err)
	}
}

func TestBadSettingsAreRefused(t *testing.T) {
	const control = "[control]\nhttp = \"127.0.0.1:0\"\n"
	for text, want := range map[string]string{
		"": "control.http",
		control + "[[engine]]\nname = \"e\"\nlisten = \"127.0.0.1:0\"\n":                               "engine.model",
		control + "[[engine]]\nname = \"e\"\nlisten = \"x\"\nmodel = \"m\"\nrole = \"all\"\n":          "engine.role",
		control + "[[plain]]\nname = \"p\"\nlisten = \"x\"\n[[plain]]\nname = \"p\"\nlisten = \"y\"\n": "used twice",
		control + "[[proxy]]\nname = \"p\"\nlisten = \"x\"\n":                                          "proxy.listen",
		control + "speed = 1\n": "unknown key",
	} {
		var s config.Settings
		err := boot.Parse("stand.toml", []byte(text), &s)
		if err == nil || !strings.Contains(err.Error(), want) || boot.ExitCode(err) != boot.ExitSettings {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

func TestStartAndStop(t *testing.T) {
	s := config.Settings{Control: config.Control{HTTP: "127.0.0.1:0"}}
	s.Engines = []config.Engine{{Name: "e", Listen: "127.0.0.1:0", Model: "m"}}
	s.Plains = []config.Plain{{Name: "p", Listen: "127.0.0.1:0"}}
	s.Proxies = []config.Proxy{{Name: "x", Listen: "127.0.0.1:0", Target: "127.0.0.1:1"}}
	s.List.Listen, s.Weights.Listen = "127.0.0.1:0", "127.0.0.1:0"
	if key, err := s.Check(); err != nil {
		t.Fatal(key, err)
	}
	cleanup, err := start(context.Background(), &s)
	if err != nil {
		t.Fatal(err)
	}
	cleanup()
}
