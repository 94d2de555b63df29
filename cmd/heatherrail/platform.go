package main

import (
	"time"

	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/settings"
)

// platformFlags name the platform that a command talks to.
type platformFlags struct {
	Settings string `long:"settings" value-name:"FILE" default:"heatherrail.ini" description:"settings with a [platform] section"`
}

// askTimeout bounds commands that only ask.
const askTimeout = 20 * time.Second

func (f *platformFlags) open() (*control.Operator, *control.Client, error) {
	file, err := settings.LoadTool(f.Settings)
	if err != nil {
		return nil, nil, err
	}
	client := &control.Client{
		VMs:  &outside.HTTPVMList{Addr: file.Platform.VMs},
		Dial: file.Network.Dial,
	}
	op := &control.Operator{Log: &outside.HTTPLog{Addr: file.Platform.Log}, State: client.State}
	return op, client, nil
}
