package main

import (
	"time"

	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/settings"
)

// platformFlags are the flags of commands that connect to the platform and its processes.
type platformFlags struct {
	Settings string `long:"settings" value-name:"FILE" default:"heatherrail.ini" description:"settings with a [platform] section"`
}

// queryTimeout limits commands that only read state.
const queryTimeout = 20 * time.Second

// open reads the settings file and returns clients for the configuration log and for the
// processes in the VM list.
func (f *platformFlags) open() (*control.Operator, *control.Client, error) {
	file, err := settings.LoadTool(f.Settings)
	if err != nil {
		return nil, nil, err
	}
	client := &control.Client{
		VMs:  &outside.HTTPVMList{Addr: file.Platform.VMs},
		Dial: file.Network.Dial,
	}
	op := &control.Operator{Log: &outside.HTTPLog{Addr: file.Platform.Log}, State: client.State, Accepted: client.Accepted}
	return op, client, nil
}
